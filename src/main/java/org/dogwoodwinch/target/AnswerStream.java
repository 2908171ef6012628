package org.dogwoodwinch.target;

/** The handle on a running attempt. */
public interface AnswerStream {

    /** Stops reading from the target until {@link #resumeReading()}, so that a slow caller holds the target back. */
    void pauseReading();

    /** Reads on. */
    void resumeReading();

    /** Gives the attempt up and tells the target to cancel it; the listener hears nothing more. */
    void cancel();
}
