package org.dogwoodwinch.peer;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.time.TimeSource;

/**
 * Creates the entries and messages of one incarnation of this instance. Their versions and numbers increase, so that
 * recipients recognize replaced entries and replayed messages. Not thread-safe.
 */
final class PeerMessageFactory {

    private final String instance;
    private final TimeSource time;
    private final long startedMillis;
    private long nextVersion = 1;
    private long nextNumber = 1;

    /**
     * Creates a factory for an incarnation that starts now.
     *
     * @param instance this instance's name, not null
     * @param time the clock, not null
     */
    PeerMessageFactory(String instance, TimeSource time) {
        this.instance = Objects.requireNonNull(instance, "instance");
        this.time = Objects.requireNonNull(time, "time");
        this.startedMillis = time.wallMillis();
    }

    /** Returns when this incarnation started, in wall-clock milliseconds. */
    long startedMillis() {
        return startedMillis;
    }

    /**
     * Creates an entry of age zero.
     *
     * @param topic the topic, not null
     * @param key the key within the topic, not null
     * @param payload the content, not null
     * @param ttlMillis the time to live, in milliseconds
     * @return the entry, of a higher version than all earlier ones
     */
    PeerEntry createEntry(PeerTopic topic, String key, Bytes payload, long ttlMillis) {
        return new PeerEntry(instance, startedMillis, topic.name(), key, nextVersion++, 0, ttlMillis, payload);
    }

    /**
     * Creates a message that is sent immediately.
     *
     * @param entries the entries, not null
     * @param recipientLeadMillis a lower bound of how far the recipient's monotonic clock is ahead of this instance's, in
     *     milliseconds; empty if unknown or if there are several recipients, not null
     * @param requestsState whether the recipients are asked for all state
     * @return the message, of a higher number than all earlier ones
     */
    PeerMessage createMessage(List<PeerEntry> entries, Optional<Long> recipientLeadMillis, boolean requestsState) {
        return new PeerMessage(
                PeerMessage.VERSION,
                instance,
                startedMillis,
                nextNumber++,
                time.wallMillis(),
                time.monotonicMillis(),
                recipientLeadMillis,
                requestsState,
                entries);
    }
}
