package org.dogwoodwinch.peer;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.time.TimeSource;

/**
 * Sends the state of this instance to others that have just started or that lack state: the stored entries, one member
 * after the other as the budget allows, and at once the state of the topics registered for transfer. Confined to one
 * event loop.
 *
 * <p>Load: when a whole data centre starts at once, sending everything to all members would saturate a narrow link for
 * seconds.
 */
final class StateSender {

    private final TimeSource time;
    private final PeerEntryStore store;
    private final int maxSnapshotBytes;
    private final PeerOutbox outbox;
    private final PeerMessageFactory factory;
    private final PeerMessageSender sender;
    private final StateTransfers transfers = new StateTransfers();
    private final Set<PeerMember> pendingSnapshots = new LinkedHashSet<>();

    /**
     * Creates a sender.
     *
     * @param time the clock, not null
     * @param store the stored entries, not null
     * @param maxSnapshotBytes the bytes of stored entries that one instance is sent
     * @param outbox states whether the budget allows a snapshot, not null
     * @param factory creates the entries of the transferred topics, not null
     * @param sender sends the messages, not null
     */
    StateSender(
            TimeSource time,
            PeerEntryStore store,
            int maxSnapshotBytes,
            PeerOutbox outbox,
            PeerMessageFactory factory,
            PeerMessageSender sender) {
        this.time = Objects.requireNonNull(time, "time");
        this.store = Objects.requireNonNull(store, "store");
        this.maxSnapshotBytes = maxSnapshotBytes;
        this.outbox = Objects.requireNonNull(outbox, "outbox");
        this.factory = Objects.requireNonNull(factory, "factory");
        this.sender = Objects.requireNonNull(sender, "sender");
    }

    /** Adds a source of state: the entries of a topic, queried for each transfer, and their time to live. */
    void addSource(PeerTopic topic, Supplier<Map<String, Bytes>> entries, long ttlMillis) {
        transfers.addSource(topic, entries, ttlMillis);
    }

    /** Sends all state to a member that a connection was opened to. */
    void onConnected(PeerMember member, long currentRound) {
        transfers.onConnected(member, currentRound);
        sendState(member);
    }

    /** Sends all state again to members that have not answered; see {@link StateTransfers#retryPending}. */
    void retryPending(Predicate<String> hasMessageFrom, long currentRound) {
        transfers.retryPending(hasMessageFrom, currentRound, this::sendState);
    }

    /** Returns whether a message is the first state request of its sender's incarnation. */
    boolean isFirstStateRequest(PeerMessage message) {
        return transfers.isFirstStateRequest(message);
    }

    /** Sends all state to a member, and returns whether there was any state of the registered topics. */
    boolean sendState(PeerMember member) {
        queueSnapshot(member);
        sendPendingSnapshots();
        return transfers.forEachEntry((topic, key, payload, ttlMillis) ->
                sender.send(List.of(factory.createEntry(topic, key, payload, ttlMillis)), List.of(member)));
    }

    /** Queues the stored entries for a member. */
    void queueSnapshot(PeerMember member) {
        pendingSnapshots.add(member);
    }

    /** Sends the stored entries to the members that they are queued for, as the budget allows. */
    void sendPendingSnapshots() {
        // A send may open a connection, which adds its member to those that wait.
        while (!pendingSnapshots.isEmpty()) {
            List<PeerEntry> entries = store.snapshot(time.monotonicMillis(), maxSnapshotBytes);
            if (!outbox.hasBudgetFor(
                    entries.stream().mapToLong(PeerCodec::sizeOf).sum())) {
                return;
            }
            PeerMember member = pendingSnapshots.iterator().next();
            pendingSnapshots.remove(member);
            sender.send(entries, List.of(member));
        }
    }
}
