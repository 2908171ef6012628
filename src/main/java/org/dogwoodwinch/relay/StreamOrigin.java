package org.dogwoodwinch.relay;

import java.util.Objects;

/** What is known of the service and the software version that began a stream. */
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
     * The service and the version are known, and the stream may go on there.
     *
     * @param service the service, not null
     * @param softwareVersion the version, not null
     * @param source how it is known, not null
     * @param ageMillis the age of a record; without a record, for how long the service is known to have had no other
     *     version; in milliseconds
     */
    record Known(String service, String softwareVersion, Source source, long ageMillis) implements StreamOrigin {
        /** Validates the components. */
        public Known {
            Objects.requireNonNull(service, "service");
            Objects.requireNonNull(softwareVersion, "softwareVersion");
            Objects.requireNonNull(source, "source");
        }
    }

    /**
     * The service or the version is not known, or the stream may not go on there, so the call can be sent to no target.
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
