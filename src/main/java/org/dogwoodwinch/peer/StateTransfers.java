package org.dogwoodwinch.peer;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.dogwoodwinch.bytes.Bytes;

/**
 * Which instances have just been connected to and may know nothing yet, and what they are told. Used on one event loop
 * alone.
 */
final class StateTransfers {

    /** An instance that read the platform's list says a word to its relay within three rounds. */
    private static final int RETRY_ROUNDS = 4;

    private final Map<PeerTopic, SnapshotSource> snapshotSources = new EnumMap<>(PeerTopic.class);
    private final Map<String, PendingTransfer> pending = new HashMap<>();
    private final Map<String, Long> answeredStartMillis = new HashMap<>();

    /** What a newcomer is told of a topic: all that there is, asked for each time, and how long it may be of use. */
    void addSource(PeerTopic topic, Supplier<Map<String, Bytes>> entries, long ttlMillis) {
        snapshotSources.put(Objects.requireNonNull(topic, "topic"), new SnapshotSource(entries, ttlMillis));
    }

    /** Hands out all that a newcomer is told; returns whether there was anything. */
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

    /** An instance was connected to and is told everything now. */
    void onConnected(PeerMember member, long currentRound) {
        pending.put(member.name(), new PendingTransfer(member, currentRound));
    }

    /**
     * Tells everything once more to those that were silent since they were connected to.
     *
     * <p>Failure: all instances start at once, and the platform answers some of them. When these connected to the others
     * they knew nothing yet; those that are turned away know nobody whom they could ask.
     *
     * @param hasMessageFrom whether an instance was heard of late
     * @param currentRound the round
     * @param transfer tells an instance everything, and says whether there was anything
     */
    void retryPending(Predicate<String> hasMessageFrom, long currentRound, Predicate<PeerMember> transfer) {
        pending.values().removeIf(pendingTransfer -> hasMessageFrom.test(pendingTransfer.member.name()));
        pending.values()
                .removeIf(pendingTransfer -> currentRound - pendingTransfer.startRound >= RETRY_ROUNDS
                        && (currentRound - pendingTransfer.startRound) % RETRY_ROUNDS == 0
                        && transfer.test(pendingTransfer.member));
    }

    /** Whether a message is the first of its sender's start that asks for an answer. */
    boolean isFirstStateRequest(PeerMessage message) {
        return message.newcomer()
                && !Long.valueOf(message.startedMillis())
                        .equals(answeredStartMillis.put(message.sender(), message.startedMillis()));
    }

    /** Takes one thing that a newcomer is told. */
    @FunctionalInterface
    interface EntryConsumer {

        /**
         * Takes it.
         *
         * @param topic what it is about
         * @param key which one
         * @param payload the content
         * @param ttlMillis how long it may be of use
         */
        void accept(PeerTopic topic, String key, Bytes payload, long ttlMillis);
    }

    private record PendingTransfer(PeerMember member, long startRound) {}

    private record SnapshotSource(Supplier<Map<String, Bytes>> entries, long ttlMillis) {}
}
