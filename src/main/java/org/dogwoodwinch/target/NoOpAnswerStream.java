package org.dogwoodwinch.target;

/** The stream of an attempt that was never started: all operations do nothing. */
public enum NoOpAnswerStream implements AnswerStream {
    /** The only instance. */
    INSTANCE;

    @Override
    public void pauseReading() {}

    @Override
    public void resumeReading() {}

    @Override
    public void cancel() {}
}
