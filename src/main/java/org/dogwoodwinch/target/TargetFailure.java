package org.dogwoodwinch.target;

/** Why an attempt on a target failed; the kinds differ in whether the request may have run. */
public sealed interface TargetFailure {

    /**
     * Returns what went wrong, for logs.
     *
     * @return the text
     */
    String detail();

    /**
     * Says whether the attempt certainly did not run.
     *
     * @return true where no byte was written, or where the target itself said that it did nothing
     */
    default boolean provesNotRun() {
        return this instanceof NotSent || this instanceof Refused;
    }

    /**
     * No byte of the request was written: the connection was refused or could not be made.
     *
     * @param detail what went wrong
     */
    record NotSent(String detail) implements TargetFailure {}

    /**
     * The target refused the request before it ran any of it.
     *
     * @param detail what it said
     * @param overloaded whether it refused for load
     * @param leaving whether it refused because it is leaving
     * @param retryAfterMillis when it may take the request, in milliseconds; zero where it did not say
     */
    record Refused(String detail, boolean overloaded, boolean leaving, long retryAfterMillis)
            implements TargetFailure {}

    /**
     * The connection broke, or the answer was malformed, after bytes may have reached the target.
     *
     * @param detail what went wrong
     */
    record Broken(String detail) implements TargetFailure {}

    /**
     * The target did not answer in time after bytes may have reached it.
     *
     * @param detail what was waited for
     */
    record TimedOut(String detail) implements TargetFailure {}

    /**
     * The target answered that the request failed while it ran.
     *
     * @param detail what it said
     */
    record Failed(String detail) implements TargetFailure {}
}
