package org.dogwoodwinch.peer;

import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/**
 * An update that one instance publishes to the others; a higher version replaces a lower one of the same origin, topic
 * and key.
 *
 * @param origin the name of the instance that published it, not null
 * @param topic the topic, not null
 * @param key the key within the topic, such as a target's name, not null
 * @param version increases with each publication by its origin
 * @param payload the content, in MessagePack, not null
 * @param ageMillis its age on arrival, in milliseconds: the time that instances held it plus, where known, the transit
 *     time of the last message
 * @param ageBounded whether its true age does not exceed {@code ageMillis}, regardless of delays in transit
 */
public record PeerUpdate(
        String origin, PeerTopic topic, String key, long version, Bytes payload, long ageMillis, boolean ageBounded) {

    /** Checks that no component is null. */
    public PeerUpdate {
        Objects.requireNonNull(origin, "origin");
        Objects.requireNonNull(topic, "topic");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(payload, "payload");
    }

    /**
     * Creates an update whose transit time is unknown.
     *
     * @param origin the name of the instance that published it, not null
     * @param topic the topic, not null
     * @param key the key within the topic, such as a target's name, not null
     * @param version increases with each publication by its origin
     * @param payload the content, in MessagePack, not null
     * @param ageMillis the time that instances held it, in milliseconds
     */
    public PeerUpdate(String origin, PeerTopic topic, String key, long version, Bytes payload, long ageMillis) {
        this(origin, topic, key, version, payload, ageMillis, false);
    }
}
