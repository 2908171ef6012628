package org.dogwoodwinch.request;

/** Controls a submitted request on behalf of its caller. */
public interface RequestHandle {

    /**
     * Stops reading from the target until {@link #resumeReading()}, because the caller's connection is not writable.
     */
    void pauseReading();

    /** Resumes reading from the target, because the caller's connection is writable again. */
    void resumeReading();

    /** Cancels the request because the caller disconnected; the sink is not called any more. */
    void cancel();
}
