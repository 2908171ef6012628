package org.dogwoodwinch.relay;

import java.util.Objects;

/** What is known of the software version that began a stream. */
public sealed interface StreamOrigin {

    /** How the version is known. */
    enum Source {
        /** This instance began the stream, or was told of its begin. */
        RECORDED,
        /** Another instance answered the question. */
        ASKED,
        /** The service has had no other version for longer than a stream lives. */
        ONLY_VERSION
    }

    /**
     * The version is known.
     *
     * @param softwareVersion the version, not null
     * @param source how it is known, not null
     * @param ageMillis the age of a record; without a record, for how long the service is known to have had no other
     *     version; in milliseconds
     */
    record Known(String softwareVersion, Source source, long ageMillis) implements StreamOrigin {
        /** Validates the components. */
        public Known {
            Objects.requireNonNull(softwareVersion, "softwareVersion");
            Objects.requireNonNull(source, "source");
        }
    }

    /**
     * The version is not known, so no target can be told to be one of it.
     *
     * @param reason the reason for logs and metrics, not null
     */
    record Unknown(String reason) implements StreamOrigin {
        /** Validates the components. */
        public Unknown {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
