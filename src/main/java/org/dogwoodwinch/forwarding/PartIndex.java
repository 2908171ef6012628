package org.dogwoodwinch.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Which parts of prompts each engine is believed to keep. Not thread-safe.
 *
 * <p>Engines tell late and now and then not at all; a part that a prompt left there by this instance is believed at
 * once, so that the next prompt with it follows before the engine's word comes.
 */
public final class PartIndex {

    private final Map<String, Map<String, Integer>> cachedTokensByEngine = new HashMap<>();
    private final SharedSegments shared = new SharedSegments();

    /**
     * Returns which parts other requests may name again.
     *
     * @return what is known of it, the same each time
     */
    public SharedSegments shared() {
        return shared;
    }

    /**
     * Returns how much of a part an engine keeps.
     *
     * @param engineId the engine's id, not null
     * @param segmentId the part, not null
     * @return its tokens that are believed kept; zero where none are
     */
    public int keptOf(String engineId, String segmentId) {
        return cachedTokensByEngine.getOrDefault(engineId, Map.of()).getOrDefault(segmentId, 0);
    }

    /**
     * An engine keeps a part, or keeps less of it.
     *
     * @param engineId the engine's id, not null
     * @param segmentId the part, not null
     * @param cachedTokens how many of its tokens are kept now; zero where it was dropped
     */
    public void kept(String engineId, String segmentId, int cachedTokens) {
        Map<String, Integer> tokensBySegment = cachedTokensByEngine.computeIfAbsent(engineId, _id -> new HashMap<>());
        if (cachedTokens <= 0) {
            tokensBySegment.remove(segmentId);
        } else {
            tokensBySegment.put(segmentId, cachedTokens);
        }
    }

    /**
     * An engine has read a prompt.
     *
     * @param engineId the engine's id, not null
     * @param prompt the prompt, not null
     */
    public void read(String engineId, Prompt prompt) {
        prompt.parts().forEach(segment -> kept(engineId, segment.id(), segment.tokens()));
    }

    /**
     * Forgets what an engine keeps, as after its restart.
     *
     * @param engineId the engine's id, not null
     */
    public void forget(String engineId) {
        cachedTokensByEngine.remove(engineId);
    }

    /**
     * Forgets engines that are used no more.
     *
     * @param engineIds those that are, not null
     */
    public void retain(Set<String> engineIds) {
        cachedTokensByEngine.keySet().retainAll(engineIds);
    }

    /**
     * Returns the larger parts that an engine keeps.
     *
     * @param engineId the engine's id, not null
     * @param minTokens the tokens from which on a part is returned
     * @return the tokens kept, by part
     */
    public Map<String, Integer> keptAtLeast(String engineId, int minTokens) {
        Map<String, Integer> found = new HashMap<>();
        cachedTokensByEngine.getOrDefault(engineId, Map.of()).forEach((segmentId, tokens) -> {
            if (tokens >= minTokens) {
                found.put(segmentId, tokens);
            }
        });
        return found;
    }

    /**
     * Returns how much of a prompt an engine need not read.
     *
     * @param engineId the engine's id, not null
     * @param prompt the prompt, not null
     * @return the tokens of its first parts that are kept without a gap
     */
    public int keptTokens(String engineId, Prompt prompt) {
        Map<String, Integer> tokensBySegment = cachedTokensByEngine.getOrDefault(engineId, Map.of());
        int sum = 0;
        for (PromptPart segment : prompt.parts()) {
            int cachedTokens = Math.min(segment.tokens(), tokensBySegment.getOrDefault(segment.id(), 0));
            sum += cachedTokens;
            if (cachedTokens < segment.tokens()) {
                break;
            }
        }
        return Math.min(sum, prompt.inputTokens());
    }

    /**
     * Returns how many parts are believed kept.
     *
     * @return the count over all engines
     */
    public int size() {
        return cachedTokensByEngine.values().stream().mapToInt(Map::size).sum();
    }
}
