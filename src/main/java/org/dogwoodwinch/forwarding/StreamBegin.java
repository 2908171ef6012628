package org.dogwoodwinch.forwarding;

import java.util.Objects;

/**
 * The begin of a stream.
 *
 * @param stream the stream, with the service at which it began, not null
 * @param softwareVersion the version of the target that made its first event, not null
 */
public record StreamBegin(StreamId stream, String softwareVersion) {

    /** Validates the components. */
    public StreamBegin {
        Objects.requireNonNull(stream, "stream");
        Objects.requireNonNull(softwareVersion, "softwareVersion");
    }
}
