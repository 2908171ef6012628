package org.dogwoodwinch.target;

/** Controls a running attempt. */
public interface AnswerStream {

    /**
     * Stops reading from the target until {@link #resumeReading()}, which applies the backpressure of a slow caller to
     * the target.
     */
    void pauseReading();

    /** Resumes reading after {@link #pauseReading()}. */
    void resumeReading();

    /** Cancels the attempt, on the target too; the listener is not called again. */
    void cancel();

    /**
     * Stops receiving the answer while the attempt keeps running, so that the stream can be resumed by its attempt id,
     * later or by another instance. The listener is not called again. Implementations close the connection without
     * cancelling the attempt on the target; this default only stops reading.
     */
    default void detach() {
        pauseReading();
    }
}
