package org.dogwoodwinch.queueing;

/**
 * The calls that an instance has released but not yet written to a target, because their connections are being opened.
 * They are in no load yet.
 *
 * @param callsCount the number of calls
 * @param inputTokens the length of their prompts
 */
public record UnsentWork(int callsCount, long inputTokens) {

    /** Nothing is on the way to a target. */
    public static final UnsentWork NONE = new UnsentWork(0, 0);

    /**
     * Returns the sum of this work and a call.
     *
     * @param tokens the length of its prompt; zero without one
     * @return the sum
     */
    public UnsentWork plusCall(long tokens) {
        return new UnsentWork(callsCount + 1, inputTokens + tokens);
    }

    /**
     * Returns this work without a call.
     *
     * @param tokens the length of its prompt; zero without one
     * @return the difference
     */
    public UnsentWork minusCall(long tokens) {
        return new UnsentWork(callsCount - 1, inputTokens - tokens);
    }
}
