package org.dogwoodwinch.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;

/** A peer board that delivers every item to every subscriber immediately. */
final class InMemoryPeerBoard implements PeerBus {

    private final List<Consumer<PeerUpdate>> listeners = new ArrayList<>();
    private long version;

    @Override
    public void publish(PeerTopic topic, String key, Bytes payload, long _keepMillis) {
        PeerUpdate item = new PeerUpdate("peer", topic, key, ++version, payload, 0);
        List.copyOf(listeners).forEach(listener -> listener.accept(item));
    }

    @Override
    public void subscribe(PeerTopic _topic, Consumer<PeerUpdate> listener) {
        listeners.add(listener);
    }
}
