package org.dogwoodwinch.forwarding;

import java.util.Objects;
import java.util.Optional;

/** For whom a call may be forwarded, as decided by its key and by the route. */
public sealed interface CallerIdentity {

    /**
     * The call is forwarded.
     *
     * @param owner the owner of the key; empty if the call bears no known key and needs none
     */
    record Accepted(Optional<CallOwner> owner) implements CallerIdentity {

        /** Validates the component. */
        public Accepted {
            Objects.requireNonNull(owner, "owner");
        }
    }

    /**
     * The call needs a key and bears no valid one. Nothing of it is forwarded.
     *
     * @param reason what is wrong with the key, without the key itself, not null
     */
    record Rejected(String reason) implements CallerIdentity {

        /** Validates the component. */
        public Rejected {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
