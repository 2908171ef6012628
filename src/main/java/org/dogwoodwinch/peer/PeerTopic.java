package org.dogwoodwinch.peer;

import java.util.Optional;

/** The topics of the messages between instances. */
public enum PeerTopic {
    /** The load that an instance has recently sent to targets. */
    LOAD,
    /** Targets that are leaving. */
    LEAVING,
    /** Targets that break off the calls of an instance, or answer again. */
    BROKEN_TARGET,
    /** Rate limits that targets state. */
    TARGET_LIMIT,
    /** Targets that are slow or fail calls. */
    TARGET_PERFORMANCE,
    /** Targets that state in an answer that they are leaving. */
    TARGET_LEAVES,
    /** Whether an instance is cut off from all targets. */
    TARGETS_CUT_OFF,
    /** Fingerprints of requests that crash targets. */
    QUARANTINE,
    /** Prompt segments that crash targets. */
    CRASHING_SEGMENT,
    /** The demand of owners, from which the shares of their limits are computed. */
    DEMAND,
    /** The newest catalogue and the offset it covers; sent to a member that has just started, not forwarded. */
    CATALOGUE,
    /** The heartbeat of an instance. */
    MEMBER,
    /** The requests that an instance has in flight on targets that are out of service. */
    DRAIN,

    /**
     * The load that all instances of a data centre have in flight at targets, summed by its relay for the other relays.
     */
    CENTRE_LOAD,

    /** The load that the whole fleet has in flight at targets, summed by a relay for its data centre. */
    FLEET_LOAD,

    /** The prompt parts that a target has in its cache. */
    KEPT_PARTS,

    /** Prompt parts that occur in several requests. */
    SHARED_PARTS,

    /** Records of a stream of the platform's store. */
    STREAM,

    /** The heartbeat of a relay: the instances of its data centre that it receives messages from. */
    ALIVE,

    /** The process of an instance stops: it takes over no task of its data centre any more. */
    INSTANCE_LEAVES,

    /** A request of an instance without state for all state that its relay has. */
    WANT,

    /** The software version at which a stream began; sent to the instances that keep it. */
    STREAM_BEGIN,

    /** Begins of streams that were not told when they began; sent to the instances that keep them. */
    STREAM_BEGINS,

    /** The acknowledgement of such begins. */
    STREAM_BEGINS_KEPT,

    /** A service of which a stream is taken up that nobody who was asked knows. */
    STREAM_BEGINS_WANTED,

    /** A question for the software version at which a stream began. */
    STREAM_QUESTION,

    /** The answer to such a question. */
    STREAM_ANSWER,

    /** A question for how long services have had one software version, from an instance that has just started. */
    VERSIONS_QUESTION,

    /** The answer to such a question. */
    VERSIONS_ANSWER,

    /** Services to which a configuration has lately led streams that may have begun at others; sent with such answers. */
    ROUTES_MOVED;

    /**
     * Returns the topic with a name.
     *
     * @param name its name on the wire, not null
     * @return the topic; empty for one that a newer version of this program added, whose entries are ignored
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
