package org.dogwoodwinch.relay;

/** A call under way, as its caller's connection sees it. */
interface ActiveCall {

    /** A call that was answered at once. */
    ActiveCall NONE = new ActiveCall() {
        @Override
        public void onCallerClosed() {}

        @Override
        public void onCallerWritable() {}
    };

    /** The caller's connection has closed: all work for it ends at once. */
    void onCallerClosed();

    /** The caller takes bytes again. */
    void onCallerWritable();
}
