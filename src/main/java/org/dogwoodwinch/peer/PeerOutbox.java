package org.dogwoodwinch.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dogwoodwinch.time.TimeSource;
import org.dogwoodwinch.time.TokenBucket;

/**
 * The entries that one instance has queued for others, sent within a bandwidth budget. Confined to one event loop.
 *
 * <p>Failure: messages to peers take the whole bandwidth of a link. The instance's calls, the closes that notify
 * targets of callers who disconnected, and its reports of leaving targets wait behind them for seconds, and what was
 * written to a socket cannot be taken back. Messages therefore have a budget, which is a share of the link. Entries
 * that the platform's limits depend on are always sent; load figures come next, of which only the newest are kept;
 * entries that merely save prefill work wait for spare budget, and the oldest of them are dropped.
 */
final class PeerOutbox {

    /** The recipients of an entry. */
    enum Audience {
        OWN_RELAY,
        OWN_DATA_CENTRE,
        OTHER_RELAYS,
        ALL
    }

    /** The burst capacity: unused budget beyond it is lost, so that the traffic of any second stays near the budget. */
    private static final double BURST_MILLIS = 250;

    /** The fraction of the burst capacity that is reserved for entries more urgent than cache hints. */
    private static final double URGENT_RESERVE_FRACTION = 0.3;

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * The time without budget for load figures or state transfers after which cache hints wait until these have been
     * sent.
     *
     * <p>Failure: small entries used up the budget that a large and more urgent one was waiting for, round after round.
     */
    private static final long STARVATION_MILLIS = 450;

    private static final long NOT_BLOCKED = -1;

    /** Some seconds of a large data centre's changes; older ones are soon sent again as complete lists. */
    private static final int MAX_QUEUED_ENTRIES = 2_000;

    private static final Set<PeerTopic> LOAD_TOPICS =
            Set.of(PeerTopic.LOAD, PeerTopic.CENTRE_LOAD, PeerTopic.FLEET_LOAD);
    private static final Set<PeerTopic> CACHE_HINT_TOPICS = Set.of(PeerTopic.KEPT_PARTS, PeerTopic.SHARED_PARTS);

    private final TimeSource time;
    private final TokenBucket budget;
    private final long urgentReserveBytes;
    private final Consumer<PeerTopic> onDropped;
    private long loadsBlockedSinceMillis = NOT_BLOCKED;
    private long transfersBlockedSinceMillis = NOT_BLOCKED;
    private final Map<Audience, Deque<QueuedEntry>> queues = new EnumMap<>(Audience.class);

    /**
     * Creates an empty outbox.
     *
     * @param time the clock, not null
     * @param bytesPerSecond the budget, in bytes per second
     * @param onDropped receives the topic of each entry that was dropped unsent, not null
     */
    PeerOutbox(TimeSource time, int bytesPerSecond, Consumer<PeerTopic> onDropped) {
        this.time = Objects.requireNonNull(time, "time");
        this.budget = TokenBucket.full(bytesPerSecond, BURST_MILLIS, time.monotonicMillis());
        this.urgentReserveBytes = (long) (URGENT_RESERVE_FRACTION * bytesPerSecond * BURST_MILLIS / MILLIS_PER_SECOND);
        this.onDropped = Objects.requireNonNull(onDropped, "onDropped");
        for (Audience audience : Audience.values()) {
            queues.put(audience, new ArrayDeque<>());
        }
    }

    /** Queues an entry; a load figure replaces the queued one of the same key. */
    void add(Audience audience, PeerEntry entry) {
        Deque<QueuedEntry> queue = queues.get(audience);
        QueuedEntry added = new QueuedEntry(entry, time.monotonicMillis());
        if (hasTopicIn(LOAD_TOPICS, entry)) {
            queue.removeIf(other -> other.hasSameKey(entry));
        }
        queue.addLast(added);
        if (queue.size() > MAX_QUEUED_ENTRIES) {
            dropOldestCacheHint(queue);
        }
    }

    /** Moves the queued entries from one audience to another, when the recipients have changed. */
    void move(Audience from, Audience to) {
        queues.get(to).addAll(queues.get(from));
        queues.get(from).clear();
    }

    /** Drops the entries queued for an audience without members. */
    void clear(Audience audience) {
        queues.get(audience).clear();
    }

    /** Charges the budget for messages that were sent, from this outbox or otherwise. */
    void onSent(long bytes) {
        budget.take(bytes);
    }

    /** Returns whether a number of bytes that can wait may be sent now. */
    boolean hasBudgetFor(long bytes) {
        long nowMillis = time.monotonicMillis();
        boolean isSendable = budget.canTake(bytes + urgentReserveBytes, nowMillis);
        transfersBlockedSinceMillis = blockedSince(isSendable, transfersBlockedSinceMillis, nowMillis);
        return isSendable;
    }

    private static long blockedSince(boolean isSendable, long sinceMillis, long nowMillis) {
        if (isSendable) {
            return NOT_BLOCKED;
        }
        return sinceMillis == NOT_BLOCKED ? nowMillis : sinceMillis;
    }

    private static boolean isStarved(long sinceMillis, long nowMillis) {
        return sinceMillis != NOT_BLOCKED && nowMillis - sinceMillis >= STARVATION_MILLIS;
    }

    /**
     * Takes the entries that may be sent now, the most urgent first, with the time that they were queued added to their
     * ages.
     *
     * @param audience the recipients, not null
     * @param recipientCount the number of recipients; each of them gets every entry
     * @return the entries, to be sent immediately
     */
    List<PeerEntry> take(Audience audience, int recipientCount) {
        Deque<QueuedEntry> queue = queues.get(audience);
        List<PeerEntry> taken = new ArrayList<>();
        for (Urgency urgency : Urgency.values()) {
            takeOfUrgency(queue, recipientCount, urgency, taken);
        }
        // Each entry was charged as it was taken, so that the next one sees less budget; the sender charges the whole
        // message.
        taken.forEach(entry -> budget.correct(-costBytes(entry, recipientCount)));
        return taken;
    }

    private static long costBytes(PeerEntry entry, int recipientCount) {
        return (long) PeerCodec.sizeOf(entry) * recipientCount;
    }

    private void takeOfUrgency(Deque<QueuedEntry> queue, int recipientCount, Urgency urgency, List<PeerEntry> taken) {
        long nowMillis = time.monotonicMillis();
        Iterator<QueuedEntry> entries = queue.iterator();
        while (entries.hasNext()) {
            QueuedEntry next = entries.next();
            if (Urgency.of(next.entry) != urgency) {
                continue;
            }
            PeerEntry aged = next.withCurrentAge(nowMillis);
            if (aged.ageMillis() >= aged.keepMillis()) {
                entries.remove();
                reportDropped(aged);
                continue;
            }
            long bytes = costBytes(aged, recipientCount);
            boolean isSendable = canSend(urgency, bytes, nowMillis);
            if (urgency == Urgency.LOAD) {
                loadsBlockedSinceMillis = blockedSince(isSendable, loadsBlockedSinceMillis, nowMillis);
            }
            if (!isSendable) {
                break;
            }
            budget.take(bytes);
            entries.remove();
            taken.add(aged);
        }
    }

    private boolean canSend(Urgency urgency, long bytes, long nowMillis) {
        return switch (urgency) {
            case IMMEDIATE -> true;
            case LOAD -> budget.canTake(bytes, nowMillis);
            case CACHE_HINT ->
                !isStarved(loadsBlockedSinceMillis, nowMillis)
                        && !isStarved(transfersBlockedSinceMillis, nowMillis)
                        && budget.canTake(bytes + urgentReserveBytes, nowMillis);
        };
    }

    private void dropOldestCacheHint(Deque<QueuedEntry> queue) {
        Iterator<QueuedEntry> entries = queue.iterator();
        while (entries.hasNext()) {
            PeerEntry entry = entries.next().entry;
            if (hasTopicIn(CACHE_HINT_TOPICS, entry)) {
                entries.remove();
                reportDropped(entry);
                return;
            }
        }
    }

    private void reportDropped(PeerEntry entry) {
        PeerTopic.find(entry.topic()).ifPresent(onDropped);
    }

    private static boolean hasTopicIn(Set<PeerTopic> topics, PeerEntry entry) {
        Optional<PeerTopic> topic = PeerTopic.find(entry.topic());
        return topic.isPresent() && topics.contains(topic.get());
    }

    private enum Urgency {
        IMMEDIATE,
        LOAD,
        CACHE_HINT;

        static Urgency of(PeerEntry entry) {
            if (hasTopicIn(PeerOutbox.LOAD_TOPICS, entry)) {
                return LOAD;
            }
            return hasTopicIn(PeerOutbox.CACHE_HINT_TOPICS, entry) ? CACHE_HINT : IMMEDIATE;
        }
    }

    private record QueuedEntry(PeerEntry entry, long queuedMillis) {

        boolean hasSameKey(PeerEntry other) {
            return entry.origin().equals(other.origin())
                    && entry.topic().equals(other.topic())
                    && entry.key().equals(other.key());
        }

        PeerEntry withCurrentAge(long nowMillis) {
            return entry.withAddedAge(nowMillis - queuedMillis);
        }
    }
}
