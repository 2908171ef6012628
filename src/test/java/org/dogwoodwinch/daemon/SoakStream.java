package org.dogwoodwinch.daemon;

import org.dogwoodwinch.forwarding.StreamId;

/** A stream of a caller, which runs at a target, breaks off, and is taken up. */
final class SoakStream {

    final StreamId id;
    final String version;
    final long beganMillis;
    final long deadlineMillis;
    /** Where, when and how the stream began and was taken up. */
    final StringBuilder trace = new StringBuilder();

    SoakInstance instance;
    SoakTarget target;
    long endsMillis;
    boolean breaks;
    int refusalsCount;

    SoakStream(StreamId id, String version, long beganMillis, long deadlineMillis) {
        this.id = id;
        this.version = version;
        this.beganMillis = beganMillis;
        this.deadlineMillis = deadlineMillis;
    }
}
