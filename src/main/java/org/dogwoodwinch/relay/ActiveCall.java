package org.dogwoodwinch.relay;

import java.util.Optional;

/** A call under way that is notified of events on its caller's connection, and of the end of the instance. */
interface ActiveCall {

    /** Stands for a call whose response was sent at once. */
    ActiveCall NONE = new ActiveCall() {
        @Override
        public void onCallerClosed() {}

        @Override
        public void onCallerWritable() {}

        @Override
        public Optional<StoppedCall> onInstanceStop() {
            return Optional.empty();
        }
    };

    /** The caller's connection was closed; all work for the call is cancelled. */
    void onCallerClosed();

    /** The caller can receive more bytes again. */
    void onCallerWritable();

    /**
     * The process is about to exit: ends the call with an answer, or aborts a response that has begun. Nothing is written
     * to a target or another instance afterwards.
     *
     * @return how the call was ended; empty if it had ended before
     */
    Optional<StoppedCall> onInstanceStop();
}
