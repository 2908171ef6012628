package org.dogwoodwinch.time;

/** Something that was started and can be stopped before it completes. */
@FunctionalInterface
public interface Cancellable {

    /** Stops the work if it has not completed; a second call has no effect. */
    void cancel();
}
