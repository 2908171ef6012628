package org.dogwoodwinch.peer;

import java.util.Optional;

/** What instances tell each other about. */
public enum PeerTopic {
    /** What an instance sent to targets of late. */
    LOAD,
    /** Targets that are leaving. */
    LEAVING,
    /** Targets that break off the calls of an instance, or answer again. */
    BROKEN_TARGET,
    /** Limits that targets name. */
    TARGET_LIMIT,
    /** Fingerprints of requests that crash targets. */
    QUARANTINE,
    /** Demand of owners, for the shares of their limits. */
    DEMAND,
    /** The newest catalogue and the offset it covers; sent to a member that has just started, not passed on. */
    CATALOGUE,
    /** That an instance is alive. */
    MEMBER,
    /** What an instance has in flight on targets that are out of service. */
    DRAIN,

    /** What all instances of a data centre have under way at targets, as its relay sums it up for the other relays. */
    CENTRE_LOAD,

    /** What the whole fleet has under way at targets, as a relay sums it up for its data centre. */
    FLEET_LOAD,

    /** Which parts of prompts an engine keeps. */
    KEPT_PARTS,

    /** Parts of prompts that several requests name. */
    SHARED_PARTS,

    /** Records of a stream of the platform's store. */
    STREAM,

    /** The instances of a data centre that its relay hears. */
    ALIVE,

    /** That an instance has nothing to serve by, and wants all that its relay knows. */
    WANT;

    /**
     * Finds a topic.
     *
     * @param name its name on the wire, not null
     * @return the topic; empty for one that a newer version of this program added, which is passed over
     */
    static Optional<PeerTopic> find(String name) {
        for (PeerTopic topic : values()) {
            if (topic.name().equals(name)) {
                return Optional.of(topic);
            }
        }
        return Optional.empty();
    }
}
