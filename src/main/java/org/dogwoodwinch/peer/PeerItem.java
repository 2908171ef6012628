package org.dogwoodwinch.peer;

import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/**
 * One thing that one instance tells the others; a higher version replaces a lower one of the same origin, topic and
 * key.
 *
 * @param origin the name of the instance that says it, not null
 * @param topic what it is about, not null
 * @param key which one, such as a target's name, not null
 * @param version grows with each publication by its origin
 * @param payload the content, in MessagePack, not null
 * @param ageMillis how old it was on arrival, in milliseconds: what its holders on the way added up and, where it is known,
 *     the last way
 * @param ageProved whether it was no older, however long it waited on its way
 */
public record PeerItem(
        String origin, PeerTopic topic, String key, long version, Bytes payload, long ageMillis, boolean ageProved) {

    /** Checks the parts. */
    public PeerItem {
        Objects.requireNonNull(origin, "origin");
        Objects.requireNonNull(topic, "topic");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(payload, "payload");
    }

    /**
     * Creates an item of which nobody knows how long it was on its way.
     *
     * @param origin the name of the instance that says it, not null
     * @param topic what it is about, not null
     * @param key which one, such as a target's name, not null
     * @param version grows with each publication by its origin
     * @param payload the content, in MessagePack, not null
     * @param ageMillis what its holders on the way added up, in milliseconds
     */
    public PeerItem(String origin, PeerTopic topic, String key, long version, Bytes payload, long ageMillis) {
        this(origin, topic, key, version, payload, ageMillis, false);
    }
}
