package org.dogwoodwinch.forwarding;

import java.util.Arrays;
import java.util.List;

/** The prompts that wait for prefill at an engine, by the queue level of their calls. Immutable. */
public final class PrefillQueue {

    /** The empty queue. */
    public static final PrefillQueue EMPTY = new PrefillQueue(new long[QueueLevel.COUNT], new int[QueueLevel.COUNT]);

    private final long[] tokens;
    private final int[] prompts;

    private PrefillQueue(long[] tokens, int[] prompts) {
        this.tokens = tokens;
        this.prompts = prompts;
    }

    /**
     * Creates a queue from lists of levels.
     *
     * @param tokens the tokens of each level, starting with level 0, not null; missing levels count as zero
     * @param prompts the number of prompts of each level in the same order, not null
     * @return the queue
     * @throws IllegalArgumentException if there are more levels than engines distinguish
     */
    public static PrefillQueue of(List<Long> tokens, List<Integer> prompts) {
        if (tokens.size() > QueueLevel.COUNT || prompts.size() > QueueLevel.COUNT) {
            throw new IllegalArgumentException(
                    "at most " + QueueLevel.COUNT + " levels allowed: " + tokens.size() + ", " + prompts.size());
        }
        long[] tokensOfLevels = tokens.stream().mapToLong(Long::longValue).toArray();
        int[] promptsOfLevels = prompts.stream().mapToInt(Integer::intValue).toArray();
        return new PrefillQueue(
                Arrays.copyOf(tokensOfLevels, QueueLevel.COUNT), Arrays.copyOf(promptsOfLevels, QueueLevel.COUNT));
    }

    /**
     * Creates a queue of one prompt, or the empty queue if the prompt has no tokens to prefill.
     *
     * @param level the level of the prompt's call
     * @param tokens the tokens to prefill
     * @return the queue
     */
    public static PrefillQueue ofPrompt(int level, long tokens) {
        return EMPTY.plusPrompts(level, tokens, tokens == 0 ? 0 : 1);
    }

    /**
     * Returns the tokens that are prefilled before a call that arrives now: those of its own level and of all levels
     * before it, and one prompt of average length of the later levels, because an engine completes a prefill that it
     * has begun.
     *
     * @param level the call's level
     * @return the expected number of tokens ahead of the call
     */
    public long tokensAheadOf(int level) {
        long earlierTokens = 0;
        for (int i = 0; i <= level; i++) {
            earlierTokens += tokens[i];
        }
        long laterTokens = 0;
        long laterPrompts = 0;
        for (int i = level + 1; i < tokens.length; i++) {
            laterTokens += tokens[i];
            laterPrompts += prompts[i];
        }
        return earlierTokens + (laterPrompts > 0 ? laterTokens / laterPrompts : 0);
    }

    /**
     * Returns the tokens of all levels.
     *
     * @return the sum
     */
    public long totalTokens() {
        return Arrays.stream(tokens).sum();
    }

    /**
     * Returns the number of prompts of all levels.
     *
     * @return the sum
     */
    public int totalPrompts() {
        return Arrays.stream(prompts).sum();
    }

    /**
     * Returns the tokens of a level.
     *
     * @param level the level
     * @return its tokens
     */
    public long tokensAt(int level) {
        return tokens[level];
    }

    /**
     * Returns the number of prompts of a level.
     *
     * @param level the level
     * @return its prompts
     */
    public int promptsAt(int level) {
        return prompts[level];
    }

    /**
     * Returns the tokens of each level.
     *
     * @return the tokens, starting with level 0
     */
    public List<Long> tokens() {
        return Arrays.stream(tokens).boxed().toList();
    }

    /**
     * Returns the number of prompts of each level.
     *
     * @return the numbers, starting with level 0
     */
    public List<Integer> prompts() {
        return Arrays.stream(prompts).boxed().toList();
    }

    /**
     * Returns the sum of this queue and another.
     *
     * @param other the other queue, not null
     * @return the sum
     */
    public PrefillQueue plus(PrefillQueue other) {
        return combine(other, 1);
    }

    PrefillQueue minus(PrefillQueue other) {
        return combine(other, -1);
    }

    /**
     * Returns this queue with prompts added to one level.
     *
     * @param level the level
     * @param addedTokens the tokens to add
     * @param addedPrompts the number of prompts to add
     * @return the longer queue
     * @throws IndexOutOfBoundsException if engines do not distinguish such a level
     */
    public PrefillQueue plusPrompts(int level, long addedTokens, int addedPrompts) {
        long[] newTokens = tokens.clone();
        int[] newPrompts = prompts.clone();
        newTokens[level] += addedTokens;
        newPrompts[level] += addedPrompts;
        return new PrefillQueue(newTokens, newPrompts);
    }

    private PrefillQueue combine(PrefillQueue other, int sign) {
        long[] newTokens = tokens.clone();
        int[] newPrompts = prompts.clone();
        for (int i = 0; i < newTokens.length; i++) {
            newTokens[i] += sign * other.tokens[i];
            newPrompts[i] += sign * other.prompts[i];
        }
        return new PrefillQueue(newTokens, newPrompts);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PrefillQueue queue
                && Arrays.equals(tokens, queue.tokens)
                && Arrays.equals(prompts, queue.prompts);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(tokens) + Arrays.hashCode(prompts);
    }

    @Override
    public String toString() {
        return Arrays.toString(tokens) + Arrays.toString(prompts);
    }
}
