package org.dogwoodwinch.forwarding;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The streams that began at this instance, and which of the instances that keep the streams of a service have been told
 * of them. Not thread-safe.
 *
 * <p>Load: nobody is told of a stream while its service has one version. When that ends, each instance of the fleet has
 * hundreds of streams to tell a few instances of, all at the same moment. The number that an instance sends in a second
 * is its share of what one receiver takes from all instances together; the newest streams, which live longest, are told
 * first.
 *
 * <p>Failure: a message is lost, or its receiver is cut off, suspended or replaced. What is not acknowledged is told
 * again for as long as the stream lives, and an instance that takes the place of another one is told too.
 */
public final class OwnStreamBegins {

    /** Less than half of a link of 10 Mbit/s, at some 30 bytes for each stream. */
    private static final int MAX_RECEIVED_PER_SECOND = 10_000;

    /** Fewer would cost the receiver more for the messages than for the streams in them. */
    private static final int MIN_BATCH_SIZE = 16;

    /** Keeps a message far below the longest one, also if all ids in it are long. */
    private static final int MAX_BATCH_SIZE = 500;

    private static final int MAX_STREAMS = 50_000;

    private static final long FIRST_REPEAT_MILLIS = 1_000;
    private static final long LONGEST_REPEAT_MILLIS = 8_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final String ownName;
    private final LongSupplier lifetimeMillis;

    /** From the oldest to the newest. An id that began at two versions is told of both, so that it says nothing there. */
    private final Map<StreamBegin, Begin> begins = new LinkedHashMap<>();

    private final Map<String, Integer> countByService = new HashMap<>();

    /** The streams to tell each instance of, from the newest to the oldest. */
    private final Map<String, Deque<Begin>> untoldByName = new LinkedHashMap<>();

    private final Map<Long, Sent> unacknowledged = new LinkedHashMap<>();
    private Set<String> services = Set.of();
    private Set<String> names = Set.of();
    private boolean isChanged;
    private long nextNumber;
    private long lastTakenMillis;

    /** The streams that may be sent now, and the most that are given credit for. */
    private double credit;

    private double maxCredit;
    private int untoldAtEndCount;

    /**
     * Creates an object without streams.
     *
     * @param ownName the name of this instance, not null
     * @param lifetimeMillis supplies the longest time for which a stream may be taken up, in milliseconds, not null
     * @param firstNumber the number of the first batch, another one for each process, so that an acknowledgement to an
     *     ended process is not taken for one to its successor
     */
    public OwnStreamBegins(String ownName, LongSupplier lifetimeMillis, long firstNumber) {
        this.ownName = Objects.requireNonNull(ownName, "ownName");
        this.lifetimeMillis = Objects.requireNonNull(lifetimeMillis, "lifetimeMillis");
        this.nextNumber = firstNumber;
    }

    /**
     * Some streams that one instance is told of.
     *
     * @param number identifies the batch in its acknowledgement
     * @param name the instance, not null
     * @param begins the streams and the versions that began them, not null
     */
    public record Batch(long number, String name, List<StreamBegin> begins) {
        /** Validates the components and copies the list. */
        public Batch {
            Objects.requireNonNull(name, "name");
            begins = List.copyOf(begins);
        }
    }

    /**
     * Records a stream that has begun at this instance.
     *
     * @param begin the stream and its version, not null; one with an unusable id is ignored
     * @param told the instances that are told of it at once, not null
     * @param nowMillis the monotonic time
     */
    public void record(StreamBegin begin, Collection<String> told, long nowMillis) {
        if (!begin.stream().isRecordable()) {
            return;
        }
        expire(nowMillis);
        if (begins.remove(begin) == null) {
            countByService.merge(begin.stream().service(), 1, Integer::sum);
        }
        begins.put(begin, new Begin(begin, nowMillis, told));
        isChanged |= told.isEmpty() && services.contains(begin.stream().service());
    }

    /**
     * Returns the services whose streams have begun at this instance.
     *
     * @return the names of the services, unmodifiable
     */
    public Set<String> services() {
        return Set.copyOf(countByService.keySet());
    }

    /**
     * Takes the batches that are to be sent now.
     *
     * @param toldServices the services of which the others have to know the streams, not null
     * @param memberNames supplies the names of all instances, also of this one, not null
     * @param nowMillis the monotonic time, later with each call
     * @return the batches, possibly none
     */
    public List<Batch> takeDue(
            Set<String> toldServices, Supplier<? extends Collection<String>> memberNames, long nowMillis) {
        long elapsedMillis = Math.min(nowMillis - lastTakenMillis, MILLIS_PER_SECOND);
        lastTakenMillis = nowMillis;
        if (toldServices.isEmpty() && services.isEmpty()) {
            credit = 0;
            return List.of();
        }
        expire(nowMillis);
        Set<String> members = Set.copyOf(memberNames.get());
        if (isChanged || !services.equals(toldServices) || !names.equals(members)) {
            isChanged = false;
            services = Set.copyOf(toldServices);
            names = members;
            beginAnew();
        }
        List<Batch> due = new ArrayList<>();
        addCredit(elapsedMillis);
        repeat(nowMillis, due);
        takeUntold(nowMillis, due);
        return due;
    }

    /**
     * Records that an instance keeps the streams of a batch.
     *
     * @param number the number of the batch
     * @param name the instance, not null
     * @return the number of streams; zero if the batch is not known, or was acknowledged before
     */
    public int acknowledge(long number, String name) {
        Sent sent = unacknowledged.get(number);
        if (sent == null || !sent.name.equals(name)) {
            return 0;
        }
        unacknowledged.remove(number);
        return sent.begins.size();
    }

    /**
     * Returns how many streams still wait to be told, once for each instance that has to know them.
     *
     * @return the number of streams that were not sent yet
     */
    public int waitingCount() {
        return untoldByName.values().stream().mapToInt(Deque::size).sum();
    }

    /**
     * Returns how many streams have ended their time untold since the last call, although the others had to know them.
     *
     * @return the number of streams
     */
    public int takeUntoldAtEnd() {
        int count = untoldAtEndCount;
        untoldAtEndCount = 0;
        return count;
    }

    /** Finds anew who has to be told of what, because the services or the instances have changed. */
    private void beginAnew() {
        untoldByName.clear();
        Iterator<Sent> sent = unacknowledged.values().iterator();
        while (sent.hasNext()) {
            Sent batch = sent.next();
            if (services.isEmpty() || !names.contains(batch.name)) {
                sent.remove();
                batch.begins.forEach(begin -> begin.told.remove(batch.name));
            }
        }
        Map<String, List<String>> recorders = new HashMap<>();
        services.forEach(service -> recorders.put(service, StreamRecorders.ofService(service, names)));
        for (Begin begin : begins.values()) {
            begin.told.retainAll(names);
            List<String> recordersOfService =
                    recorders.getOrDefault(begin.value.stream().service(), List.of());
            StreamRecorders.toldOf(begin.value.stream().requestId(), recordersOfService, ownName).stream()
                    .filter(name -> !begin.told.contains(name))
                    .forEach(name -> untoldByName
                            .computeIfAbsent(name, _name -> new ArrayDeque<>())
                            .addFirst(begin));
        }
    }

    /** Adds what may be sent for the time that has passed; what is not sent within a second is not made up for. */
    private void addCredit(long elapsedMillis) {
        long receiversCount = services.stream()
                .mapToLong(service -> StreamRecorders.ofService(service, names).size())
                .sum();
        maxCredit = (double) MAX_RECEIVED_PER_SECOND * receiversCount / Math.max(1, names.size());
        credit = Math.min(maxCredit, credit + maxCredit * elapsedMillis / MILLIS_PER_SECOND);
    }

    /** Takes the credit for some streams; a batch that is larger than the most that is ever given gets all of that. */
    private boolean tryTakeCredit(int count) {
        boolean isEnough = credit >= Math.min(count, maxCredit);
        credit -= isEnough ? count : 0;
        return isEnough;
    }

    private void repeat(long nowMillis, List<Batch> due) {
        Iterator<Sent> batches = unacknowledged.values().iterator();
        while (batches.hasNext()) {
            Sent sent = batches.next();
            if (sent.nextMillis > nowMillis) {
                continue;
            }
            sent.begins.removeIf(begin -> isExpired(begin, nowMillis));
            if (sent.begins.isEmpty()) {
                batches.remove();
            } else if (tryTakeCredit(sent.begins.size())) {
                due.add(sent.toBatch());
                sent.repeatMillis = Math.min(2 * sent.repeatMillis, LONGEST_REPEAT_MILLIS);
                sent.nextMillis = nowMillis + sent.repeatMillis;
            }
        }
    }

    private void takeUntold(long nowMillis, List<Batch> due) {
        // Whose turn it was goes to the end, so that all are told at the same pace.
        for (String name : List.copyOf(untoldByName.keySet())) {
            Deque<Begin> untold = untoldByName.get(name);
            long fairShare = Math.round(credit / untoldByName.size());
            int count = (int) Math.min(untold.size(), Math.min(MAX_BATCH_SIZE, Math.max(MIN_BATCH_SIZE, fairShare)));
            if (!tryTakeCredit(count)) {
                return;
            }
            untoldByName.remove(name);
            List<Begin> taken = take(untold, count, nowMillis);
            if (!untold.isEmpty()) {
                untoldByName.put(name, untold);
            }
            if (!taken.isEmpty()) {
                taken.forEach(begin -> begin.told.add(name));
                Sent sent = new Sent(nextNumber++, name, taken, nowMillis + FIRST_REPEAT_MILLIS);
                unacknowledged.put(sent.number, sent);
                due.add(sent.toBatch());
            }
        }
    }

    private List<Begin> take(Deque<Begin> untold, long count, long nowMillis) {
        List<Begin> taken = new ArrayList<>();
        while (taken.size() < count && !untold.isEmpty()) {
            Begin begin = untold.pollFirst();
            if (!isExpired(begin, nowMillis)) {
                taken.add(begin);
            }
        }
        return taken;
    }

    private boolean isExpired(Begin begin, long nowMillis) {
        return nowMillis - begin.beganMillis > lifetimeMillis.getAsLong();
    }

    private void expire(long nowMillis) {
        Iterator<Begin> oldestFirst = begins.values().iterator();
        while (oldestFirst.hasNext()) {
            Begin oldest = oldestFirst.next();
            if (!isExpired(oldest, nowMillis) && begins.size() < MAX_STREAMS) {
                return;
            }
            oldestFirst.remove();
            String service = oldest.value.stream().service();
            countByService.merge(service, -1, (count, change) -> count == 1 ? null : count + change);
            if (services.contains(service) && oldest.told.isEmpty()) {
                untoldAtEndCount++;
            }
        }
    }

    private static final class Begin {
        private final StreamBegin value;
        private final long beganMillis;

        /** The instances that were told of it, or are being told. */
        private final Set<String> told;

        Begin(StreamBegin value, long beganMillis, Collection<String> told) {
            this.value = value;
            this.beganMillis = beganMillis;
            this.told = new HashSet<>(told);
        }
    }

    private static final class Sent {
        private final long number;
        private final String name;
        private final List<Begin> begins;
        private long nextMillis;
        private long repeatMillis = FIRST_REPEAT_MILLIS;

        Sent(long number, String name, List<Begin> begins, long nextMillis) {
            this.number = number;
            this.name = name;
            this.begins = begins;
            this.nextMillis = nextMillis;
        }

        Batch toBatch() {
            return new Batch(
                    number, name, begins.stream().map(begin -> begin.value).toList());
        }
    }
}
