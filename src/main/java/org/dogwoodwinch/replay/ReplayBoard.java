package org.dogwoodwinch.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.peer.PeerBoard;
import org.dogwoodwinch.peer.PeerItem;
import org.dogwoodwinch.peer.PeerTopic;
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

    PeerBoard of(String instance) {
        return new PeerBoard() {
            @Override
            public void publish(PeerTopic topic, String key, Bytes payload, long _keepMillis) {
                PeerItem item = new PeerItem(instance, topic, key, nextVersion++, payload, DELAY_MILLIS);
                time.schedule(DELAY_MILLIS, () -> deliver(item));
            }

            @Override
            public void subscribe(PeerTopic topic, Consumer<PeerItem> listener) {
                subscriptions.add(new Subscription(instance, topic, listener));
            }
        };
    }

    private void deliver(PeerItem item) {
        for (Subscription each : subscriptions) {
            if (each.topic() == item.topic() && !each.instance().equals(item.origin())) {
                each.listener().accept(item);
            }
        }
    }

    private record Subscription(String instance, PeerTopic topic, Consumer<PeerItem> listener) {}
}
