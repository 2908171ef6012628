package org.dogwoodwinch.follow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;

/**
 * A keyed stream that one instance of a data centre reads and tells the others. Used on one thread alone.
 *
 * <p>Failure: where each instance reads for itself, calls to the platform grow with the fleet until they cost more than
 * the traffic earns. Here an instance reads only while nobody before it in the order of succession says, of late, that it
 * does. A word stands for as long as the teller's own contact with the platform is recent: a teller that is cut off from
 * the platform, frozen, behind or gone holds nobody back longer than that, and the next ones take over one after the
 * other. Records carry their offsets, so two that both tell, or one that tells late, do no harm: what was read already is
 * passed over, and a gap is closed by a reading of one's own.
 */
public final class ToldStream implements KeyedStream {

    /** Records that are kept for followers that are a word behind; a storm of changes brings some tens a second. */
    private static final int KEPT_RECORDS = 256;

    private final String name;
    private final KeyedStream platform;
    private final ToldPolicy policy;
    private final TimeSource time;
    private final IntSupplier ownRank;
    private final Consumer<ToldWord> tell;
    private final Deque<KeyedRecord> kept = new ArrayDeque<>();
    private long keptEndOffset = -1;
    private long toldFreshUntilMillis = Long.MIN_VALUE;
    private long contactAtMillis = Long.MIN_VALUE;
    private Optional<Waiting> waiting = Optional.empty();

    /**
     * Creates a stream.
     *
     * @param name the stream's name, not null
     * @param platform reads it from the platform, not null
     * @param policy the times, not null
     * @param time the clock and timers, not null
     * @param ownRank this instance's place in the order of succession of its data centre, zero is the first, not null
     * @param tell tells the others of the data centre, not null
     */
    public ToldStream(
            String name,
            KeyedStream platform,
            ToldPolicy policy,
            TimeSource time,
            IntSupplier ownRank,
            Consumer<ToldWord> tell) {
        this.name = Objects.requireNonNull(name, "name");
        this.platform = Objects.requireNonNull(platform, "platform");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.time = Objects.requireNonNull(time, "time");
        this.ownRank = Objects.requireNonNull(ownRank, "ownRank");
        this.tell = Objects.requireNonNull(tell, "tell");
    }

    @Override
    public CompletionStage<ReadResult> newest(Optional<String> afterKey) {
        return platform.newest(afterKey);
    }

    @Override
    public CompletionStage<ReadResult> read(long fromOffset, long waitMillis) {
        Optional<ReadResult> known = fromKept(fromOffset);
        if (known.isPresent()) {
            return CompletableFuture.completedFuture(known.get());
        }
        if (!told() || fromOffset < keptEndOffset) {
            return readPlatform(fromOffset, told() ? 0 : waitMillis);
        }
        Waiting fresh = new Waiting(fromOffset, waitMillis, new CompletableFuture<>());
        waiting = Optional.of(fresh);
        watch(fresh);
        return fresh.result;
    }

    /**
     * Hears another instance of the data centre.
     *
     * @param word what it says, not null
     * @param before whether it stands before this instance in the order of succession
     */
    public void heard(ToldWord word, boolean before) {
        if (before) {
            long until = time.monotonicMillis() - word.contactAgeMillis() + policy.freshMillis();
            toldFreshUntilMillis = Math.max(toldFreshUntilMillis, until);
        }
        keep(word.records(), word.nextOffset());
        waiting.ifPresent(asked -> {
            Optional<ReadResult> known = fromKept(asked.fromOffset);
            if (known.isPresent()) {
                answer(asked, known.get());
            } else if (asked.fromOffset < keptEndOffset) {
                giveUpWaiting(asked, 0);
            }
        });
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

    /** Whether another instance's word stands for a reading of one's own. */
    private boolean told() {
        return time.monotonicMillis() < tellersTimeMillis();
    }

    private long tellersTimeMillis() {
        return toldFreshUntilMillis == Long.MIN_VALUE
                ? Long.MIN_VALUE
                : toldFreshUntilMillis + policy.patienceMillis(ownRank.getAsInt());
    }

    private void watch(Waiting asked) {
        long leftMillis = tellersTimeMillis() - time.monotonicMillis();
        asked.timer = time.schedule(Math.max(1, leftMillis), () -> {
            if (told()) {
                watch(asked);
            } else {
                giveUpWaiting(asked, asked.waitMillis);
            }
        });
    }

    private void answer(Waiting asked, ReadResult result) {
        asked.timer.cancel();
        waiting = Optional.empty();
        asked.result.complete(result);
    }

    private void giveUpWaiting(Waiting asked, long waitMillis) {
        asked.timer.cancel();
        waiting = Optional.empty();
        readPlatform(asked.fromOffset, waitMillis).thenAccept(asked.result::complete);
    }

    private CompletionStage<ReadResult> readPlatform(long fromOffset, long waitMillis) {
        return platform.read(fromOffset, waitMillis).thenApply(result -> {
            if (!(result instanceof ReadResult.Unavailable)) {
                contactAtMillis = time.monotonicMillis();
            }
            if (result instanceof ReadResult.Batch batch) {
                keep(batch.records(), batch.nextOffset());
                if (!told()) {
                    // Also where nothing is new: the word says that so much was read, and as of when.
                    tell.accept(new ToldWord(name, batch.records(), batch.nextOffset(), 0));
                }
            }
            return result;
        });
    }

    private void keep(List<KeyedRecord> records, long endOffset) {
        if (endOffset <= keptEndOffset) {
            return;
        }
        long firstOffset = records.isEmpty() ? endOffset : records.get(0).offset();
        if (firstOffset > keptEndOffset) {
            kept.clear();
        }
        for (KeyedRecord record : records) {
            if (kept.isEmpty() || record.offset() > kept.peekLast().offset()) {
                kept.addLast(record);
            }
        }
        while (kept.size() > KEPT_RECORDS) {
            kept.removeFirst();
        }
        keptEndOffset = endOffset;
    }

    /** Records from an offset on, where all of them are kept and there is at least one. */
    private Optional<ReadResult> fromKept(long fromOffset) {
        if (kept.isEmpty() || fromOffset >= keptEndOffset || kept.peekFirst().offset() > fromOffset) {
            return Optional.empty();
        }
        List<KeyedRecord> wanted =
                kept.stream().filter(record -> record.offset() >= fromOffset).toList();
        return Optional.of(new ReadResult.Batch(wanted, keptEndOffset));
    }

    private static final class Waiting {
        private final long fromOffset;
        private final long waitMillis;
        private final CompletableFuture<ReadResult> result;
        private Cancellable timer = () -> {};

        Waiting(long fromOffset, long waitMillis, CompletableFuture<ReadResult> result) {
            this.fromOffset = fromOffset;
            this.waitMillis = waitMillis;
            this.result = result;
        }
    }
}
