package org.dogwoodwinch.relay;

/** A call under way that is notified of events on its caller's connection. */
interface ActiveCall {

    /** Stands for a call whose response was sent at once. */
    ActiveCall NONE = new ActiveCall() {
        @Override
        public void onCallerClosed() {}

        @Override
        public void onCallerWritable() {}
    };

    /** The caller's connection was closed; all work for the call is cancelled. */
    void onCallerClosed();

    /** The caller can receive more bytes again. */
    void onCallerWritable();
}
