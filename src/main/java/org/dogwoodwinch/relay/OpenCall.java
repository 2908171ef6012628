package org.dogwoodwinch.relay;

/** A call under way, as its caller's connection sees it. */
interface OpenCall {

    /** A call that was answered at once. */
    OpenCall NONE = new OpenCall() {
        @Override
        public void callerGone() {}

        @Override
        public void callerReady() {}
    };

    /** The caller's connection has closed: all work for it ends at once. */
    void callerGone();

    /** The caller takes bytes again. */
    void callerReady();
}
