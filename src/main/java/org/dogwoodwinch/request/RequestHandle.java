package org.dogwoodwinch.request;

/** A caller's hold on its request. */
public interface RequestHandle {

    /** The caller's connection is full: stop reading from the target until {@link #resumeReading()}. */
    void pauseReading();

    /** The caller's connection has room again. */
    void resumeReading();

    /** The caller left: cancel what runs; the sink hears nothing more. */
    void cancel();
}
