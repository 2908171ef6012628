package org.dogwoodwinch.peer;

import java.util.List;
import java.util.Set;
import org.dogwoodwinch.peer.PeerOutbox.Audience;

/** Determines which instances get an update, by its topic and the role of this instance. */
final class TopicAudiences {

    /**
     * The topics that relays forward within their own data centre and, if the update comes from there, to the other
     * relays.
     */
    private static final Set<PeerTopic> FLEET_WIDE_TOPICS = Set.of(
            PeerTopic.QUARANTINE,
            PeerTopic.CRASHING_SEGMENT,
            PeerTopic.LEAVING,
            PeerTopic.BROKEN_TARGET,
            PeerTopic.TARGET_LIMIT,
            PeerTopic.TARGET_PERFORMANCE,
            PeerTopic.TARGET_LEAVES,
            PeerTopic.TARGETS_CUT_OFF,
            PeerTopic.STREAM_BEGINS_WANTED);

    private static final Set<PeerTopic> DIRECT_TOPICS = Set.of(
            PeerTopic.INSTANCE_LEAVES,
            PeerTopic.STREAM_BEGIN,
            PeerTopic.STREAM_BEGINS,
            PeerTopic.STREAM_BEGINS_KEPT,
            PeerTopic.STREAM_QUESTION,
            PeerTopic.STREAM_ANSWER,
            PeerTopic.VERSIONS_QUESTION,
            PeerTopic.VERSIONS_ANSWER,
            PeerTopic.ROUTES_MOVED);

    private static final List<Audience> RELAY_AUDIENCES = List.of(Audience.OWN_DATA_CENTRE, Audience.OTHER_RELAYS);

    private TopicAudiences() {}

    /**
     * Returns whether the updates of a topic are for their recipients alone: they are neither kept for instances that
     * start nor forwarded.
     *
     * @param topic the topic, not null
     * @return whether it is such a topic
     */
    static boolean isDirect(PeerTopic topic) {
        return DIRECT_TOPICS.contains(topic);
    }

    /**
     * Returns the audiences of an update that this instance publishes.
     *
     * @param topic the update's topic, not null
     * @param usesRelays whether the fleet uses relays
     * @param isRelay whether this instance is the relay of its data centre
     * @return the audiences, possibly none
     */
    static List<Audience> ofPublished(PeerTopic topic, boolean usesRelays, boolean isRelay) {
        return switch (topic) {
            case KEPT_PARTS -> List.of(isRelay || !usesRelays ? Audience.OWN_DATA_CENTRE : Audience.OWN_RELAY);
            case ALIVE -> RELAY_AUDIENCES;
            case CENTRE_LOAD -> List.of(Audience.OTHER_RELAYS);
            case FLEET_LOAD -> List.of(Audience.OWN_DATA_CENTRE);
            default -> ofOrdinary(topic, usesRelays, isRelay);
        };
    }

    private static List<Audience> ofOrdinary(PeerTopic topic, boolean usesRelays, boolean isRelay) {
        if (!usesRelays) {
            return List.of(Audience.ALL);
        }
        if (!isRelay) {
            return List.of(Audience.OWN_RELAY);
        }
        return topic == PeerTopic.LOAD ? List.of() : RELAY_AUDIENCES;
    }

    /**
     * Returns the audiences to which a relay forwards an update of another instance.
     *
     * @param topic the update's topic, not null
     * @param fromOwnDataCentre whether an instance of this data centre sent it
     * @return the audiences, possibly none
     */
    static List<Audience> ofForwarded(PeerTopic topic, boolean fromOwnDataCentre) {
        if (FLEET_WIDE_TOPICS.contains(topic)) {
            return fromOwnDataCentre ? RELAY_AUDIENCES : List.of(Audience.OWN_DATA_CENTRE);
        }
        return topic == PeerTopic.KEPT_PARTS && fromOwnDataCentre ? List.of(Audience.OWN_DATA_CENTRE) : List.of();
    }
}
