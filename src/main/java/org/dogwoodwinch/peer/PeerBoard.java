package org.dogwoodwinch.peer;

import java.util.function.Consumer;
import org.dogwoodwinch.bytes.Bytes;

/** The notice board that the instances keep in common by exchange with a few neighbours a round. */
public interface PeerBoard {

    /**
     * Publishes something of this instance, in place of what it published before on the topic and key.
     *
     * @param topic what it is about, not null
     * @param key which one, not null
     * @param payload the content, in MessagePack, not null
     * @param ttlMillis how long the others keep it unless it is published again, in milliseconds
     */
    void publish(PeerTopic topic, String key, Bytes payload, long ttlMillis);

    /**
     * Hears what others publish, each version once.
     *
     * @param topic what about, not null
     * @param listener takes the items, not null
     */
    void subscribe(PeerTopic topic, Consumer<PeerItem> listener);
}
