package org.dogwoodwinch.target.http;

import java.util.Objects;
import java.util.concurrent.TimeoutException;
import org.dogwoodwinch.target.TargetFailure;

/**
 * Tracks whether one request may have been written, which decides whether a failure proves that it did not run.
 *
 * <p>The flag is set before the first byte is passed to the socket. A request that fails after that may have arrived,
 * even if the connection was a stale one from the pool and the write itself failed: the reset can arrive although the
 * peer has read the request. Reporting such a request as "not sent" would allow a billed call to run twice, so every
 * failure after the flag is set is reported as broken or timed out. This occasionally reports "may have run" for a
 * request that did not arrive; the new connections of {@link HttpServiceClient} make this rare for calls that cannot be
 * retried.
 */
final class SendProgress {

    private volatile boolean mayHaveWritten;

    /** Records that the next step writes to the socket. */
    void markWriteStarted() {
        mayHaveWritten = true;
    }

    /**
     * Returns whether a byte may have reached the target.
     *
     * @return true from immediately before the first write on
     */
    boolean mayHaveWritten() {
        return mayHaveWritten;
    }

    /**
     * Converts an error to a failure.
     *
     * @param error the error, not null
     * @return the failure
     */
    TargetFailure toFailure(Throwable error) {
        String detail =
                Objects.requireNonNullElse(error.getMessage(), error.getClass().getSimpleName());
        if (!mayHaveWritten) {
            return new TargetFailure.NotSent(detail);
        }
        if (error instanceof TimeoutException) {
            return new TargetFailure.TimedOut(detail);
        }
        return new TargetFailure.Broken(detail);
    }
}
