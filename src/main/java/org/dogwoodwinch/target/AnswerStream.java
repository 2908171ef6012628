package org.dogwoodwinch.target;

/** The handle on a running attempt. */
public interface AnswerStream {

    /** Stops reading from the target until {@link #resumeReading()}, so that a slow caller holds the target back. */
    void pauseReading();

    /** Reads on. */
    void resumeReading();

    /** Gives the attempt up and tells the target to cancel it; the listener hears nothing more. */
    void cancel();

    /**
     * Stops listening and lets the attempt run on, so that it can be joined by its id later or by another instance; the
     * listener hears nothing more. An implementation closes its connection without telling the target to cancel; this
     * default only stops reading.
     */
    default void detach() {
        pauseReading();
    }
}
