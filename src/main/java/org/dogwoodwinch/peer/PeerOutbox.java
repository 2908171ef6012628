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
 * What one instance is about to tell others, and how much of it goes out now. Used on one event loop alone.
 *
 * <p>Failure: messages to peers take the whole of a link. The instance's calls, the closes that tell targets of callers who
 * left, and its word of targets that leave wait behind them for seconds, and what is written can't be taken back. Here
 * messages have a share of the link. What the platform's bounds count for always goes; loads next, only the newest of
 * each; what merely saves reading waits its turn, and the oldest of it is dropped.
 */
final class PeerOutbox {

    /** Whom an entry is for. */
    enum Audience {
        OWN_RELAY,
        OWN_DATA_CENTRE,
        OTHER_RELAYS,
        ALL
    }

    /** A share that was not used for longer is lost: what goes out in any second stays near the share. */
    private static final double BURST_MILLIS = 250;

    /** Of an unused share this part is left to what is more urgent than prompts' parts. */
    private static final double URGENT_RESERVE_FRACTION = 0.3;

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * After so long without room for loads, or for what newcomers are told, parts wait until these have gone.
     *
     * <p>Failure: small words used up what a large and more urgent one waited for, round after round.
     */
    private static final long STARVATION_MILLIS = 450;

    private static final long NOT_BLOCKED = -1;

    /** Some seconds of a large data centre's changes; older ones are soon told again, as whole lists. */
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
     * Creates an empty one.
     *
     * @param time the clock, not null
     * @param bytesPerSecond what may be sent to others a second
     * @param onDropped hears of each entry that was dropped unsent, not null
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

    /** Adds an entry; of loads a newer one replaces the older. */
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

    /** Hands what waits for one audience to another one: who was to be told has changed. */
    void move(Audience from, Audience to) {
        queues.get(to).addAll(queues.get(from));
        queues.get(from).clear();
    }

    /** Drops what waits for an audience that there is not any more. */
    void clear(Audience audience) {
        queues.get(audience).clear();
    }

    /** Messages were sent, of these or of others: they used up a part of the share. */
    void onSent(long bytes) {
        budget.take(bytes);
    }

    /** Whether so many bytes, which can wait, may be sent now. */
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
     * Takes what may go out now, the most urgent first and each as old as it has become here.
     *
     * @param audience whom it is for, not null
     * @param recipientCount how many these are; each gets it
     * @return the entries, to be sent at once
     */
    List<PeerEntry> take(Audience audience, int recipientCount) {
        Deque<QueuedEntry> queue = queues.get(audience);
        List<PeerEntry> taken = new ArrayList<>();
        for (Urgency urgency : Urgency.values()) {
            takeOfUrgency(queue, recipientCount, urgency, taken);
        }
        // Counted as it was taken, each before the next; what is sent is charged whole by the sender.
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
