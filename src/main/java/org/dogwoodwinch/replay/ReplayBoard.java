package org.dogwoodwinch.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.time.TimeSource;

/** A peer board that brings each item to all other instances after a fixed delay, as a few rounds of exchange would. */
final class ReplayBoard {

    private static final long DELAY_MILLIS = 400;

    private final TimeSource time;
    private final List<Subscription> subscriptions = new ArrayList<>();
    private long nextVersion;

    ReplayBoard(TimeSource time) {
        this.time = time;
    }

    PeerBus of(String instance) {
        return new PeerBus() {
            @Override
            public void publish(PeerTopic topic, String key, Bytes payload, long _keepMillis) {
                PeerUpdate item = new PeerUpdate(instance, topic, key, nextVersion++, payload, DELAY_MILLIS);
                time.schedule(DELAY_MILLIS, () -> deliver(item));
            }

            @Override
            public void subscribe(PeerTopic topic, Consumer<PeerUpdate> listener) {
                subscriptions.add(new Subscription(instance, topic, listener));
            }
        };
    }

    private void deliver(PeerUpdate item) {
        for (Subscription each : subscriptions) {
            if (each.topic() == item.topic() && !each.instance().equals(item.origin())) {
                each.listener().accept(item);
            }
        }
    }

    private record Subscription(String instance, PeerTopic topic, Consumer<PeerUpdate> listener) {}
}
