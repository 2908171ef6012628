package org.dogwoodwinch.follow;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.IntSupplier;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A keyed stream that one instance of a data centre reads and tells the others. Used on one thread alone.
 *
 * <p>Failure: where each instance reads for itself, calls to the platform grow with the fleet until they cost more than
 * the traffic earns. Here an instance reads only while nobody before it in the order of succession says, of late, that it
 * does. A word stands for as long as the publisher's own contact with the platform is recent: a publisher that is cut off from
 * the platform, frozen, behind or gone holds nobody back longer than that, and the next ones take over one after the
 * other. Records carry their offsets, so two that both tell, or one that tells late, do no harm: what was read already is
 * passed over, and a gap is closed by a reading of one's own.
 *
 * <p>Failure: an instance that starts while the platform turns it away knows nothing and refuses every call, though its
 * neighbours have all that it needs. What a neighbour knows whole stands for the first reading, whichever comes first.
 * Where all of a data centre is turned away, the word of another one's reader is used and passed on.
 *
 * <p>Load: targets renew their entries every second or so, which says nothing new. Sent to each instance and taken apart
 * there, that was a third of what the messages of an idle fleet cost. The reader leaves such records out of its word, and
 * a word that has nothing else waits until the next is due as a sign of life.
 */
public final class ReplicatedStream implements KeyedStream {

    private static final Logger log = LoggerFactory.getLogger(ReplicatedStream.class);

    /** Records that are kept for followers that are a word behind; a storm of changes brings some tens a second. */
    private static final int KEPT_RECORDS = 256;

    /** A reader's sign of life where nothing is new: twice within the time that a word stands. */
    private static final int SIGNS_WHILE_FRESH = 2;

    private final String name;
    private final KeyedStream platform;
    private final ReplicaPolicy policy;
    private final TimeSource time;
    private final IntSupplier ownRank;
    private final Publisher publisher;
    private final RepeatedMeaning repeated;
    private final Deque<KeyedRecord> kept = new ArrayDeque<>();
    private final Map<String, KeyedRecord> consumed = new LinkedHashMap<>();
    private long consumedEndOffset = -1;
    private boolean consumedWhole;
    private long keptFirstOffset = -1;
    private long keptEndOffset = -1;
    private long toldFreshUntilMillis = Long.MIN_VALUE;
    private long contactAtMillis = Long.MIN_VALUE;
    private long saidAtMillis = Long.MIN_VALUE;
    private long unsaidFromOffset = -1;
    private Optional<Waiting> waiting = Optional.empty();
    private Optional<CompletableFuture<ReadResult>> wholeAsked = Optional.empty();
    private Optional<StreamUpdate> toldWhole = Optional.empty();
    private long toldWholeUntilMillis = Long.MIN_VALUE;

    /**
     * Creates a stream.
     *
     * @param name the stream's name, not null
     * @param platform reads it from the platform, not null
     * @param policy the times, not null
     * @param time the clock and timers, not null
     * @param ownRank this instance's place in the order of succession of its data centre, zero is the first, not null
     * @param publisher tells the others, not null
     * @param meaning what a record says; two that say the same are equal, not null
     */
    public ReplicatedStream(
            String name,
            KeyedStream platform,
            ReplicaPolicy policy,
            TimeSource time,
            IntSupplier ownRank,
            Publisher publisher,
            Function<KeyedRecord, Object> meaning) {
        this.name = Objects.requireNonNull(name, "name");
        this.platform = Objects.requireNonNull(platform, "platform");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.time = Objects.requireNonNull(time, "time");
        this.ownRank = Objects.requireNonNull(ownRank, "ownRank");
        this.publisher = Objects.requireNonNull(publisher, "publisher");
        this.repeated = new RepeatedMeaning(meaning, KEPT_RECORDS);
    }

    /** Tells other instances, and asks them. */
    public interface Publisher {

        /**
         * Tells a word.
         *
         * @param word the word, not null
         * @param ownReading whether it was read here: it is for the other data centres too; what came from one of them is
         *     for the own one alone, or two that both fail would pass it to each other for ever
         */
        void tell(StreamUpdate word, boolean ownReading);

        /** Asks others for all that they know: the platform did not answer the first reading. */
        void want();
    }

    @Override
    public CompletionStage<ReadResult> newest(Optional<String> afterKey) {
        CompletableFuture<ReadResult> result = new CompletableFuture<>();
        if (afterKey.isEmpty()) {
            wholeAsked = Optional.of(result);
            if (toldWhole.isPresent() && time.monotonicMillis() < toldWholeUntilMillis) {
                answerWhole(toldWhole.get());
                return result;
            }
        }
        platform.newest(afterKey).thenAccept(page -> {
            if (!(page instanceof ReadResult.Unavailable)) {
                contactAtMillis = time.monotonicMillis();
            }
            if (!result.isDone()) {
                wholeAsked = Optional.empty();
                if (page instanceof ReadResult.Unavailable) {
                    publisher.want();
                }
                consumedPage(afterKey, page);
                result.complete(page);
            }
        });
        return result;
    }

    @Override
    public CompletionStage<ReadResult> read(long fromOffset, long waitMillis) {
        Optional<ReadResult> known = fromKept(fromOffset);
        if (known.isPresent()) {
            return CompletableFuture.completedFuture(consumed(known.get()));
        }
        Waiting fresh = new Waiting(fromOffset, waitMillis);
        waiting = Optional.of(fresh);
        if (!told() || fromOffset < keptEndOffset) {
            readPlatform(fresh, told() ? 0 : waitMillis);
        } else {
            watch(fresh);
        }
        return fresh.result;
    }

    /**
     * Hears another instance of the data centre.
     *
     * @param word what it says, not null
     * @param before whether it stands before this instance in the order of succession
     */
    public void heard(StreamUpdate word, boolean before) {
        if (before) {
            long until = time.monotonicMillis() - word.contactAgeMillis() + policy.freshMillis();
            toldFreshUntilMillis = Math.max(toldFreshUntilMillis, until);
        }
        take(word);
    }

    /**
     * Hears a reader of another data centre. Its word is needed where this data centre's own readings fail, and is then
     * passed on; otherwise the data centre's own reading is as good and does not cross a border.
     *
     * @param word what it says, not null
     */
    public void heardAbroad(StreamUpdate word) {
        long sinceMillis = ageMillis();
        boolean ownFails = sinceMillis < 0 || sinceMillis > policy.freshMillis();
        take(word);
        if (ownFails && !told() && !word.whole()) {
            publisher.tell(word, false);
        }
    }

    /**
     * Returns all that this instance has taken in.
     *
     * @return the newest record of each key, empty before the first whole reading
     */
    public Optional<StreamUpdate> whole() {
        if (!consumedWhole) {
            return Optional.empty();
        }
        List<KeyedRecord> records = List.copyOf(consumed.values());
        long ageMillis = ageMillis();
        return Optional.of(new StreamUpdate(
                name,
                true,
                records,
                consumedEndOffset,
                consumedEndOffset,
                ageMillis < 0 ? StreamUpdate.UNKNOWN_AGE_MILLIS : ageMillis));
    }

    /**
     * Returns how old what this instance knows may be.
     *
     * @return milliseconds since the platform answered the reader that this instance relies on; -1 before any answer
     */
    public long ageMillis() {
        long nowMillis = time.monotonicMillis();
        long toldContact =
                toldFreshUntilMillis == Long.MIN_VALUE ? Long.MIN_VALUE : toldFreshUntilMillis - policy.freshMillis();
        long last = Math.max(contactAtMillis, toldContact);
        return last == Long.MIN_VALUE ? -1 : Math.max(0, nowMillis - last);
    }

    private void take(StreamUpdate word) {
        if (word.whole()) {
            toldWhole = Optional.of(word);
            toldWholeUntilMillis = time.monotonicMillis() + policy.freshMillis();
            if (wholeAsked.isPresent()) {
                answerWhole(word);
            }
            return;
        }
        keep(word.records(), word.firstOffset(), word.nextOffset());
        waiting.ifPresent(this::answerFromKept);
    }

    /** A reading of one's own that is under way is left alone while the platform answers: its answer is on the way. */
    private void answerFromKept(Waiting asked) {
        if (asked.reading && contactAtMillis > time.monotonicMillis() - policy.freshMillis()) {
            return;
        }
        Optional<ReadResult> known = fromKept(asked.fromOffset);
        if (known.isPresent()) {
            answer(asked, known.get());
        } else if (!asked.reading && asked.fromOffset < keptEndOffset) {
            asked.timer.cancel();
            readPlatform(asked, 0);
        }
    }

    private void answerWhole(StreamUpdate word) {
        CompletableFuture<ReadResult> asked = wholeAsked.orElseThrow();
        wholeAsked = Optional.empty();
        toldWhole = Optional.empty();
        ReadResult.Page page = new ReadResult.Page(word.records(), false, word.nextOffset());
        consumedPage(Optional.empty(), page);
        LogEvent.of("stream_told_whole")
                .with("stream", name)
                .with("records", word.records().size())
                .with("offset", word.nextOffset())
                .with("ageMillis", word.contactAgeMillis())
                .info(log);
        asked.complete(page);
    }

    /** Whether another instance's word stands for a reading of one's own. */
    private boolean told() {
        return time.monotonicMillis() < readersTimeMillis();
    }

    private long readersTimeMillis() {
        return toldFreshUntilMillis == Long.MIN_VALUE
                ? Long.MIN_VALUE
                : toldFreshUntilMillis + policy.patienceMillis(ownRank.getAsInt());
    }

    private void watch(Waiting asked) {
        long leftMillis = readersTimeMillis() - time.monotonicMillis();
        asked.timer = time.schedule(Math.max(1, leftMillis), () -> {
            if (told()) {
                watch(asked);
            } else {
                readPlatform(asked, asked.waitMillis);
            }
        });
    }

    private void answer(Waiting asked, ReadResult result) {
        asked.timer.cancel();
        waiting = waiting.filter(other -> other != asked);
        if (!asked.result.isDone()) {
            asked.result.complete(consumed(result));
        }
    }

    private void readPlatform(Waiting asked, long waitMillis) {
        asked.reading = true;
        platform.read(asked.fromOffset, waitMillis).thenAccept(result -> {
            if (!(result instanceof ReadResult.Unavailable)) {
                contactAtMillis = time.monotonicMillis();
            }
            if (result instanceof ReadResult.Batch batch) {
                boolean news = repeated.read(asked.fromOffset, batch.nextOffset(), batch.records());
                keep(batch.records(), asked.fromOffset, batch.nextOffset());
                say(asked.fromOffset, batch.nextOffset(), news);
            }
            answer(asked, result);
        });
    }

    /** News at once; a sign of life, which says up to where there was none, before the last word is too old. */
    private void say(long fromOffset, long nextOffset, boolean news) {
        if (told()) {
            unsaidFromOffset = -1;
            return;
        }
        if (unsaidFromOffset < 0 || unsaidFromOffset > fromOffset) {
            unsaidFromOffset = fromOffset;
        }
        boolean due = saidAtMillis == Long.MIN_VALUE
                || time.monotonicMillis() - saidAtMillis >= policy.freshMillis() / SIGNS_WHILE_FRESH;
        if (!news && !due) {
            return;
        }
        long firstOffset = Math.max(unsaidFromOffset, keptFirstOffset);
        List<KeyedRecord> said = kept.stream()
                .filter(record -> record.offset() >= firstOffset && !repeated.contains(record.offset()))
                .toList();
        saidAtMillis = time.monotonicMillis();
        unsaidFromOffset = -1;
        publisher.tell(new StreamUpdate(name, false, said, firstOffset, nextOffset, 0), true);
    }

    private void keep(List<KeyedRecord> records, long firstOffset, long endOffset) {
        if (endOffset <= keptEndOffset) {
            return;
        }
        if (firstOffset > keptEndOffset || keptFirstOffset < 0) {
            kept.clear();
            keptFirstOffset = firstOffset;
        }
        for (KeyedRecord record : records) {
            if (record.offset() >= keptEndOffset) {
                kept.addLast(record);
            }
        }
        while (kept.size() > KEPT_RECORDS) {
            keptFirstOffset = kept.removeFirst().offset() + 1;
        }
        keptEndOffset = endOffset;
    }

    /** Records from an offset on, where all of them that say something are kept. */
    private Optional<ReadResult> fromKept(long fromOffset) {
        if (keptFirstOffset < 0 || fromOffset >= keptEndOffset || keptFirstOffset > fromOffset) {
            return Optional.empty();
        }
        List<KeyedRecord> wanted = new ArrayList<>();
        for (KeyedRecord record : kept) {
            if (record.offset() >= fromOffset) {
                wanted.add(record);
            }
        }
        return Optional.of(new ReadResult.Batch(wanted, keptEndOffset));
    }

    /** What goes to the follower is what a newcomer is told. */
    private ReadResult consumed(ReadResult result) {
        if (result instanceof ReadResult.Batch batch) {
            batch.records().forEach(this::consume);
            consumedEndOffset = Math.max(consumedEndOffset, batch.nextOffset());
        } else if (!(result instanceof ReadResult.Unavailable)) {
            consumedWhole = false;
        }
        return result;
    }

    private void consumedPage(Optional<String> afterKey, ReadResult result) {
        if (!(result instanceof ReadResult.Page page)) {
            return;
        }
        if (afterKey.isEmpty()) {
            consumed.clear();
            consumedEndOffset = page.endOffset();
        }
        page.records().forEach(this::consume);
        consumedWhole = !page.more();
    }

    private void consume(KeyedRecord record) {
        if (record.value().isPresent()) {
            consumed.put(record.key(), record);
        } else {
            consumed.remove(record.key());
        }
    }

    private static final class Waiting {
        private final long fromOffset;
        private final long waitMillis;
        private final CompletableFuture<ReadResult> result = new CompletableFuture<>();
        private Cancellable timer = () -> {};
        private boolean reading;

        Waiting(long fromOffset, long waitMillis) {
            this.fromOffset = fromOffset;
            this.waitMillis = waitMillis;
        }
    }
}
