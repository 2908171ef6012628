package org.dogwoodwinch.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.peer.PeerBoard;
import org.dogwoodwinch.peer.PeerItem;
import org.dogwoodwinch.peer.PeerTopic;

/** A peer board that delivers every item to every subscriber immediately. */
final class InMemoryPeerBoard implements PeerBoard {

    private final List<Consumer<PeerItem>> listeners = new ArrayList<>();
    private long version;

    @Override
    public void publish(PeerTopic topic, String key, Bytes payload, long _keepMillis) {
        PeerItem item = new PeerItem("peer", topic, key, ++version, payload, 0);
        List.copyOf(listeners).forEach(listener -> listener.accept(item));
    }

    @Override
    public void subscribe(PeerTopic _topic, Consumer<PeerItem> listener) {
        listeners.add(listener);
    }
}
