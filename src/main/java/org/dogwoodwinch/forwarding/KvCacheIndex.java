package org.dogwoodwinch.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which prompt segments each engine is believed to have in its KV cache. Not thread-safe.
 *
 * <p>Engines report their caches late, and some reports are lost. A segment that was prefilled by a call of this
 * instance is therefore taken as cached at once, so that the next prompt with this segment is sent to the engine
 * before the engine reports it.
 */
public final class KvCacheIndex {

    private final Map<String, Map<String, Integer>> cachedTokensByEngine = new HashMap<>();
    private final SharedSegments sharedSegments = new SharedSegments();

    /**
     * Returns the segments that are known to be shared by several requests.
     *
     * @return the shared segments, always the same object
     */
    public SharedSegments sharedSegments() {
        return sharedSegments;
    }

    /**
     * Returns how much of a segment an engine has cached.
     *
     * @param engineId the engine's id, not null
     * @param segmentId the segment's id, not null
     * @return the cached tokens, as far as known; zero if there are none
     */
    public int cachedTokens(String engineId, String segmentId) {
        return cachedTokensByEngine.getOrDefault(engineId, Map.of()).getOrDefault(segmentId, 0);
    }

    /**
     * Records how much of a segment an engine has cached.
     *
     * @param engineId the engine's id, not null
     * @param segmentId the segment's id, not null
     * @param cachedTokens the number of its tokens that are now cached; zero if the segment was evicted
     */
    public void setCachedTokens(String engineId, String segmentId, int cachedTokens) {
        Map<String, Integer> tokensBySegment = cachedTokensByEngine.computeIfAbsent(engineId, _id -> new HashMap<>());
        if (cachedTokens <= 0) {
            tokensBySegment.remove(segmentId);
        } else {
            tokensBySegment.put(segmentId, cachedTokens);
        }
    }

    /**
     * Records that an engine has prefilled a prompt, and so cached all of its segments.
     *
     * @param engineId the engine's id, not null
     * @param prompt the prompt, not null
     */
    public void recordPrefill(String engineId, Prompt prompt) {
        prompt.segments().forEach(segment -> setCachedTokens(engineId, segment.id(), segment.tokens()));
    }

    /**
     * Removes all segments of an engine, as after its restart.
     *
     * @param engineId the engine's id, not null
     */
    public void removeEngine(String engineId) {
        cachedTokensByEngine.remove(engineId);
    }

    /**
     * Removes all engines but those given.
     *
     * @param engineIds the ids of the engines to keep, not null
     */
    public void retainEngines(Set<String> engineIds) {
        cachedTokensByEngine.keySet().retainAll(engineIds);
    }

    /**
     * Returns the segments of which an engine has cached a minimum number of tokens.
     *
     * @param engineId the engine's id, not null
     * @param minTokens the minimum number of cached tokens
     * @return the cached tokens by segment id
     */
    public Map<String, Integer> cachedSegments(String engineId, int minTokens) {
        Map<String, Integer> found = new HashMap<>();
        cachedTokensByEngine.getOrDefault(engineId, Map.of()).forEach((segmentId, tokens) -> {
            if (tokens >= minTokens) {
                found.put(segmentId, tokens);
            }
        });
        return found;
    }

    /**
     * Returns the length of the prefix of a prompt that an engine has cached and need not prefill.
     *
     * @param engineId the engine's id, not null
     * @param prompt the prompt, not null
     * @return the cached tokens from the start of the prompt up to the first gap
     */
    public int cachedPrefixTokens(String engineId, Prompt prompt) {
        Map<String, Integer> tokensBySegment = cachedTokensByEngine.getOrDefault(engineId, Map.of());
        int sum = 0;
        for (PromptSegment segment : prompt.segments()) {
            int cachedTokens = Math.min(segment.tokens(), tokensBySegment.getOrDefault(segment.id(), 0));
            sum += cachedTokens;
            if (cachedTokens < segment.tokens()) {
                break;
            }
        }
        return Math.min(sum, prompt.inputTokens());
    }

    /**
     * Returns the number of cached segments.
     *
     * @return the sum over all engines
     */
    public int segmentsCount() {
        return cachedTokensByEngine.values().stream().mapToInt(Map::size).sum();
    }
}
