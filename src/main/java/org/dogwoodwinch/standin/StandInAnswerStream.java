package org.dogwoodwinch.standin;

import java.util.Objects;
import org.dogwoodwinch.target.AnswerListener;
import org.dogwoodwinch.target.AnswerStream;

/** A caller's connection to the answer of one sequence of a stand-in engine. Thread-safe. */
final class StandInAnswerStream implements AnswerStream {

    private final StandInSequence sequence;
    private final AnswerListener listener;
    private final Object lock;
    private final Runnable cancelSequence;

    /**
     * Creates a connection.
     *
     * @param sequence the sequence, not null
     * @param listener the caller's listener, not null
     * @param lock guards the sequence, not null
     * @param cancelSequence cancels the sequence unless the engine has broken it off before, not null
     */
    StandInAnswerStream(StandInSequence sequence, AnswerListener listener, Object lock, Runnable cancelSequence) {
        this.sequence = Objects.requireNonNull(sequence, "sequence");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.lock = Objects.requireNonNull(lock, "lock");
        this.cancelSequence = Objects.requireNonNull(cancelSequence, "cancelSequence");
    }

    @Override
    public void pauseReading() {
        setPaused(true);
    }

    @Override
    public void resumeReading() {
        setPaused(false);
    }

    @Override
    public void cancel() {
        cancelSequence.run();
    }

    @Override
    public void detach() {
        synchronized (lock) {
            // Another connection may have joined the stream since; it is not this one's to close.
            if (sequence.listener() == listener) {
                sequence.detach();
            }
        }
    }

    private void setPaused(boolean paused) {
        synchronized (lock) {
            sequence.setPaused(paused);
            sequence.deliver();
        }
    }
}
