package org.dogwoodwinch.peer;

import java.util.function.Consumer;
import org.dogwoodwinch.bytes.Bytes;

/** The publish/subscribe bus between the instances of the fleet. */
public interface PeerBus {

    /**
     * Publishes an update of this instance, which replaces its previous one of the same topic and key.
     *
     * @param topic the topic, not null
     * @param key the key within the topic, not null
     * @param payload the content, in MessagePack, not null
     * @param ttlMillis the time to live at the other instances unless the update is published again, in milliseconds
     */
    void publish(PeerTopic topic, String key, Bytes payload, long ttlMillis);

    /**
     * Subscribes to the updates of other instances; each version is delivered once.
     *
     * @param topic the topic, not null
     * @param listener receives the updates, not null
     */
    void subscribe(PeerTopic topic, Consumer<PeerUpdate> listener);
}
