package org.dogwoodwinch.target;

/** The reason why an attempt on a target failed; the subtypes differ in whether the request may have run. */
public sealed interface TargetFailure {

    /**
     * Returns a description of the error for logs.
     *
     * @return the description
     */
    String detail();

    /**
     * Returns whether the failure proves that the attempt did not run.
     *
     * @return true if no byte was written, or if the target stated that it did not run the request
     */
    default boolean provesNotRun() {
        return this instanceof NotSent || this instanceof Refused;
    }

    /**
     * No byte of the request was written, for example because the connection was refused.
     *
     * @param detail the error
     */
    record NotSent(String detail) implements TargetFailure {}

    /**
     * The target refused the request and ran no part of it.
     *
     * @param detail the reason given by the target
     * @param overloaded whether the target refused because of overload
     * @param leaving whether the target refused because it is draining
     * @param retryAfterMillis when the request may be retried, in milliseconds from now; zero if the target did not
     *     state it
     */
    record Refused(String detail, boolean overloaded, boolean leaving, long retryAfterMillis)
            implements TargetFailure {}

    /**
     * The connection broke or the answer was malformed after bytes of the request may have reached the target.
     *
     * @param detail the error
     */
    record Broken(String detail) implements TargetFailure {}

    /**
     * The target did not answer in time after bytes of the request may have reached it.
     *
     * @param detail the event that did not occur in time
     */
    record TimedOut(String detail) implements TargetFailure {}

    /**
     * The target answered with an error that does not prove that the request did not run.
     *
     * @param detail the error given by the target
     */
    record Failed(String detail) implements TargetFailure {}
}
