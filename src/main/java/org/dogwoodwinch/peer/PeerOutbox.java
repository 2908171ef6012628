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
        OWN_CENTRE,
        OTHER_RELAYS,
        ALL
    }

    /** A share that was not used for longer is lost: what goes out in any second stays near the share. */
    private static final double MOST_UNUSED_MILLIS = 250;

    /** Of an unused share this part is left to what is more urgent than prompts' parts. */
    private static final double URGENT_PART = 0.3;

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * After so long without room for loads, or for what newcomers are told, parts wait until these have gone.
     *
     * <p>Failure: small words used up what a large and more urgent one waited for, round after round.
     */
    private static final long PATIENCE_MILLIS = 450;

    private static final long NOT_WAITING = -1;

    /** Some seconds of a large data centre's changes; older ones are soon told again, as whole lists. */
    private static final int MOST_WAITING = 2_000;

    private static final Set<PeerTopic> LOADS = Set.of(PeerTopic.LOAD, PeerTopic.CENTRE_LOAD, PeerTopic.FLEET_LOAD);
    private static final Set<PeerTopic> READING_SAVERS = Set.of(PeerTopic.KEPT_PARTS, PeerTopic.SHARED_PARTS);

    private final TimeSource time;
    private final TokenBucket share;
    private final long urgentBytes;
    private final Consumer<PeerTopic> onDropped;
    private long loadsWaitSinceMillis = NOT_WAITING;
    private long newcomersWaitSinceMillis = NOT_WAITING;
    private final Map<Audience, Deque<Waiting>> waiting = new EnumMap<>(Audience.class);

    /**
     * Creates an empty one.
     *
     * @param time the clock, not null
     * @param bytesPerSecond what may be sent to others a second
     * @param onDropped hears of each entry that was dropped unsent, not null
     */
    PeerOutbox(TimeSource time, int bytesPerSecond, Consumer<PeerTopic> onDropped) {
        this.time = Objects.requireNonNull(time, "time");
        this.share = TokenBucket.full(bytesPerSecond, MOST_UNUSED_MILLIS, time.monotonicMillis());
        this.urgentBytes = (long) (URGENT_PART * bytesPerSecond * MOST_UNUSED_MILLIS / MILLIS_PER_SECOND);
        this.onDropped = Objects.requireNonNull(onDropped, "onDropped");
        for (Audience audience : Audience.values()) {
            waiting.put(audience, new ArrayDeque<>());
        }
    }

    /** Adds an entry; of loads a newer one replaces the older. */
    void add(Audience audience, PeerEntry entry) {
        Deque<Waiting> queue = waiting.get(audience);
        Waiting added = new Waiting(entry, time.monotonicMillis());
        if (is(LOADS, entry)) {
            queue.removeIf(other -> other.sameThing(entry));
        }
        queue.addLast(added);
        if (queue.size() > MOST_WAITING) {
            dropOldestReadingSaver(queue);
        }
    }

    /** Hands what waits for one audience to another one: who was to be told has changed. */
    void move(Audience from, Audience to) {
        waiting.get(to).addAll(waiting.get(from));
        waiting.get(from).clear();
    }

    /** Drops what waits for an audience that there is not any more. */
    void clear(Audience audience) {
        waiting.get(audience).clear();
    }

    /** Messages were sent, of these or of others: they used up a part of the share. */
    void spent(long bytes) {
        share.take(bytes);
    }

    /** Whether so many bytes, which can wait, may be sent now. */
    boolean hasRoomFor(long bytes) {
        long nowMillis = time.monotonicMillis();
        boolean room = share.canTake(bytes + urgentBytes, nowMillis);
        newcomersWaitSinceMillis = waitsSince(room, newcomersWaitSinceMillis, nowMillis);
        return room;
    }

    private static long waitsSince(boolean gone, long sinceMillis, long nowMillis) {
        if (gone) {
            return NOT_WAITING;
        }
        return sinceMillis == NOT_WAITING ? nowMillis : sinceMillis;
    }

    private static boolean waitedLong(long sinceMillis, long nowMillis) {
        return sinceMillis != NOT_WAITING && nowMillis - sinceMillis >= PATIENCE_MILLIS;
    }

    /**
     * Takes what may go out now, the most urgent first and each as old as it has become here.
     *
     * @param audience whom it is for, not null
     * @param receiversCount how many these are; each gets it
     * @return the entries, to be sent at once
     */
    List<PeerEntry> take(Audience audience, int receiversCount) {
        Deque<Waiting> queue = waiting.get(audience);
        List<PeerEntry> taken = new ArrayList<>();
        for (Urgency urgency : Urgency.values()) {
            takeWhile(queue, receiversCount, urgency, taken);
        }
        // Counted as it was taken, each before the next; what is sent is charged whole by the sender.
        taken.forEach(entry -> share.correct(-costBytes(entry, receiversCount)));
        return taken;
    }

    private static long costBytes(PeerEntry entry, int receiversCount) {
        return (long) PeerCodec.sizeOf(entry) * receiversCount;
    }

    private void takeWhile(Deque<Waiting> queue, int receiversCount, Urgency urgency, List<PeerEntry> taken) {
        long nowMillis = time.monotonicMillis();
        Iterator<Waiting> each = queue.iterator();
        while (each.hasNext()) {
            Waiting next = each.next();
            if (Urgency.of(next.entry) != urgency) {
                continue;
            }
            PeerEntry aged = next.aged(nowMillis);
            if (aged.ageMillis() >= aged.keepMillis()) {
                each.remove();
                dropped(aged);
                continue;
            }
            long bytes = costBytes(aged, receiversCount);
            boolean goes = mayGo(urgency, bytes, nowMillis);
            if (urgency == Urgency.LOADS) {
                loadsWaitSinceMillis = waitsSince(goes, loadsWaitSinceMillis, nowMillis);
            }
            if (!goes) {
                break;
            }
            share.take(bytes);
            each.remove();
            taken.add(aged);
        }
    }

    private boolean mayGo(Urgency urgency, long bytes, long nowMillis) {
        return switch (urgency) {
            case AT_ONCE -> true;
            case LOADS -> share.canTake(bytes, nowMillis);
            case READING_SAVERS ->
                !waitedLong(loadsWaitSinceMillis, nowMillis)
                        && !waitedLong(newcomersWaitSinceMillis, nowMillis)
                        && share.canTake(bytes + urgentBytes, nowMillis);
        };
    }

    private void dropOldestReadingSaver(Deque<Waiting> queue) {
        Iterator<Waiting> each = queue.iterator();
        while (each.hasNext()) {
            PeerEntry entry = each.next().entry;
            if (is(READING_SAVERS, entry)) {
                each.remove();
                dropped(entry);
                return;
            }
        }
    }

    private void dropped(PeerEntry entry) {
        PeerTopic.named(entry.topic()).ifPresent(onDropped);
    }

    private static boolean is(Set<PeerTopic> topics, PeerEntry entry) {
        Optional<PeerTopic> topic = PeerTopic.named(entry.topic());
        return topic.isPresent() && topics.contains(topic.get());
    }

    private enum Urgency {
        AT_ONCE,
        LOADS,
        READING_SAVERS;

        static Urgency of(PeerEntry entry) {
            if (is(PeerOutbox.LOADS, entry)) {
                return LOADS;
            }
            return is(PeerOutbox.READING_SAVERS, entry) ? READING_SAVERS : AT_ONCE;
        }
    }

    private record Waiting(PeerEntry entry, long sinceMillis) {

        boolean sameThing(PeerEntry other) {
            return entry.origin().equals(other.origin())
                    && entry.topic().equals(other.topic())
                    && entry.key().equals(other.key());
        }

        PeerEntry aged(long nowMillis) {
            return entry.older(nowMillis - sinceMillis);
        }
    }
}
