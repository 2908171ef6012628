package org.dogwoodwinch.peer;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** The listeners of each topic. Thread-safe. */
final class PeerSubscriptions {

    private final Map<PeerTopic, List<Consumer<PeerUpdate>>> listenersByTopic = new EnumMap<>(PeerTopic.class);

    PeerSubscriptions() {
        for (PeerTopic topic : PeerTopic.values()) {
            listenersByTopic.put(topic, new CopyOnWriteArrayList<>());
        }
    }

    /** Adds a listener of a topic, which is called after those that were added earlier. */
    void add(PeerTopic topic, Consumer<PeerUpdate> listener) {
        listenersByTopic.get(topic).add(Objects.requireNonNull(listener, "listener"));
    }

    /** Passes an update to the listeners of its topic. */
    void deliver(PeerUpdate update) {
        listenersByTopic.get(update.topic()).forEach(listener -> listener.accept(update));
    }
}
