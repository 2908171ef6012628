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

    private final Map<String, Map<String, Integer>> keptByEngine = new HashMap<>();
    private final SharedParts shared = new SharedParts();

    /**
     * Returns which parts other requests may name again.
     *
     * @return what is known of it, the same each time
     */
    public SharedParts shared() {
        return shared;
    }

    /**
     * Returns how much of a part an engine keeps.
     *
     * @param engineId the engine's id, not null
     * @param partId the part, not null
     * @return its tokens that are believed kept; zero where none are
     */
    public int keptOf(String engineId, String partId) {
        return keptByEngine.getOrDefault(engineId, Map.of()).getOrDefault(partId, 0);
    }

    /**
     * An engine keeps a part, or keeps less of it.
     *
     * @param engineId the engine's id, not null
     * @param partId the part, not null
     * @param keptTokens how many of its tokens are kept now; zero where it was dropped
     */
    public void kept(String engineId, String partId, int keptTokens) {
        Map<String, Integer> parts = keptByEngine.computeIfAbsent(engineId, _id -> new HashMap<>());
        if (keptTokens <= 0) {
            parts.remove(partId);
        } else {
            parts.put(partId, keptTokens);
        }
    }

    /**
     * An engine has read a prompt.
     *
     * @param engineId the engine's id, not null
     * @param prompt the prompt, not null
     */
    public void read(String engineId, Prompt prompt) {
        prompt.parts().forEach(part -> kept(engineId, part.id(), part.tokens()));
    }

    /**
     * Forgets what an engine keeps, as after its restart.
     *
     * @param engineId the engine's id, not null
     */
    public void forget(String engineId) {
        keptByEngine.remove(engineId);
    }

    /**
     * Forgets engines that are used no more.
     *
     * @param engineIds those that are, not null
     */
    public void retain(Set<String> engineIds) {
        keptByEngine.keySet().retainAll(engineIds);
    }

    /**
     * Returns the larger parts that an engine keeps.
     *
     * @param engineId the engine's id, not null
     * @param leastTokens the tokens from which on a part is returned
     * @return the tokens kept, by part
     */
    public Map<String, Integer> keptAtLeast(String engineId, int leastTokens) {
        Map<String, Integer> found = new HashMap<>();
        keptByEngine.getOrDefault(engineId, Map.of()).forEach((partId, tokens) -> {
            if (tokens >= leastTokens) {
                found.put(partId, tokens);
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
        Map<String, Integer> parts = keptByEngine.getOrDefault(engineId, Map.of());
        int sum = 0;
        for (PromptPart part : prompt.parts()) {
            int kept = Math.min(part.tokens(), parts.getOrDefault(part.id(), 0));
            sum += kept;
            if (kept < part.tokens()) {
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
        return keptByEngine.values().stream().mapToInt(Map::size).sum();
    }
}
