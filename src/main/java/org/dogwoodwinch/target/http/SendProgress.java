package org.dogwoodwinch.target.http;

import java.util.Objects;
import java.util.concurrent.TimeoutException;
import org.dogwoodwinch.target.TargetFailure;

/**
 * How far one request got, which decides whether a failure proves that it did not run.
 *
 * <p>The mark is set before the first byte is handed to the socket. A request that fails after the mark may have
 * arrived even where the connection was a stale one from the pool and the write itself failed: the peer's reset can
 * overtake its reading. Calling that "not sent" would let a billed call run twice, so everything after the mark is
 * broken or timed out. The cost is a needless "may have run" now and then, which the fresh connections of
 * {@link HttpServiceClient} make rare for the calls that cannot be retried.
 */
final class SendProgress {

    private volatile boolean mayHaveWritten;

    /** Notes that the next step writes to the socket. */
    void markWriteStarted() {
        mayHaveWritten = true;
    }

    /**
     * Says whether a byte may have reached the target.
     *
     * @return true from just before the first write on
     */
    boolean mayHaveWritten() {
        return mayHaveWritten;
    }

    /**
     * Turns an error into a failure.
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
