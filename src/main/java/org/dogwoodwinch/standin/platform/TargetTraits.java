package org.dogwoodwinch.standin.platform;

/**
 * How a stand-in target works.
 *
 * @param stage prefill or decode; empty for a plain service
 * @param slotsCount requests at once
 * @param tokensPerMilli prompt tokens read in a millisecond
 * @param eventMillis the time between two events, and of a plain request's work
 * @param eventsCount the events of a stream
 * @param kvTokens the tokens of parts that are kept
 * @param switchMillis how long a change of stage takes it away
 */
public record TargetTraits(
        String stage,
        int slotsCount,
        double tokensPerMilli,
        long eventMillis,
        int eventsCount,
        long kvTokens,
        long switchMillis) {

    /** A plain service. */
    public static final TargetTraits PLAIN = new TargetTraits("", 6, 1, 5, 1, 0, 0);

    /** An engine that reads prompts for others. */
    public static final TargetTraits PREFILL = new TargetTraits("prefill", 64, 40, 5, 8, 400_000, 3_000);

    /** An engine that generates. */
    public static final TargetTraits DECODE = new TargetTraits("decode", 64, 20, 5, 8, 400_000, 3_000);
}
