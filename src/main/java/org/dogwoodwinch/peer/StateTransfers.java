package org.dogwoodwinch.peer;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.dogwoodwinch.bytes.Bytes;

/**
 * Tracks the instances that a connection has recently been opened to and that may have no state yet, and the state to
 * transfer to them. Confined to one event loop.
 */
final class StateTransfers {

    /** An instance that has read the platform's list sends a message to its relay within three rounds. */
    private static final int RETRY_ROUNDS = 4;

    private final Map<PeerTopic, SnapshotSource> snapshotSources = new EnumMap<>(PeerTopic.class);
    private final Map<String, PendingTransfer> pending = new HashMap<>();
    private final Map<String, Long> answeredStartMillis = new HashMap<>();

    /** Adds a source of state: the entries of a topic, queried for each transfer, and their time to live. */
    void addSource(PeerTopic topic, Supplier<Map<String, Bytes>> entries, long ttlMillis) {
        snapshotSources.put(Objects.requireNonNull(topic, "topic"), new SnapshotSource(entries, ttlMillis));
    }

    /** Passes all entries to a consumer, and returns whether there were any. */
    boolean forEachEntry(EntryConsumer consumer) {
        boolean any = false;
        for (Map.Entry<PeerTopic, SnapshotSource> topic : snapshotSources.entrySet()) {
            SnapshotSource source = topic.getValue();
            Map<String, Bytes> entries = source.entries.get();
            entries.forEach((key, payload) -> consumer.accept(topic.getKey(), key, payload, source.ttlMillis));
            any |= !entries.isEmpty();
        }
        return any;
    }

    /** Records that an instance was connected to; its state is transferred now. */
    void onConnected(PeerMember member, long currentRound) {
        pending.put(member.name(), new PendingTransfer(member, currentRound));
    }

    /**
     * Repeats the transfer to instances that have sent no message since they were connected to.
     *
     * <p>Failure: all instances start at once, and the platform answers some of them. When these connected to the
     * others they had no state yet, and those that the platform rejects know no instance that they could ask.
     *
     * @param hasMessageFrom returns whether an instance has sent a message recently
     * @param currentRound the number of the current round
     * @param transfer transfers all state to an instance, and returns whether there was any
     */
    void retryPending(Predicate<String> hasMessageFrom, long currentRound, Predicate<PeerMember> transfer) {
        pending.values().removeIf(pendingTransfer -> hasMessageFrom.test(pendingTransfer.member.name()));
        // A transfer may open a connection, which adds a pending transfer.
        List<PendingTransfer> due = pending.values().stream()
                .filter(each -> currentRound - each.startRound >= RETRY_ROUNDS
                        && (currentRound - each.startRound) % RETRY_ROUNDS == 0)
                .toList();
        due.stream()
                .filter(each -> transfer.test(each.member))
                .forEach(each -> pending.remove(each.member.name(), each));
    }

    /** Returns whether a message is the first state request of its sender's incarnation. */
    boolean isFirstStateRequest(PeerMessage message) {
        return message.newcomer()
                && !Long.valueOf(message.startedMillis())
                        .equals(answeredStartMillis.put(message.sender(), message.startedMillis()));
    }

    /** Consumes one entry of the state to transfer. */
    @FunctionalInterface
    interface EntryConsumer {

        /**
         * Consumes an entry.
         *
         * @param topic the topic
         * @param key the key within the topic
         * @param payload the content
         * @param ttlMillis its time to live
         */
        void accept(PeerTopic topic, String key, Bytes payload, long ttlMillis);
    }

    private record PendingTransfer(PeerMember member, long startRound) {}

    private record SnapshotSource(Supplier<Map<String, Bytes>> entries, long ttlMillis) {}
}
