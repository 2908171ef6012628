package org.dogwoodwinch.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.dogwoodwinch.external.AppendResult;
import org.dogwoodwinch.external.LogRecord;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.time.TimeSource;

/**
 * Claims on the platform's log: appended in batches, and won only when the stream, read back, shows them first.
 *
 * <p>An append's answer decides nothing, since it can be lost after it took effect. A claim that is not read back in
 * time is void: its request was refused as not run, so the claim is never acted on, and where it turns up on the log
 * later it is released. Until then others take it for a request that may have run, which errs on the safe side.
 */
public final class LogClaimLedger implements ClaimLedger {

    /** The stream's name on the log. */
    public static final String STREAM = "claims";

    private static final int READ_RECORDS = 500;
    private static final long READ_WAIT_MILLIS = 1_000;
    private static final long READ_RETRY_MILLIS = 200;
    private static final long UNKNOWN_RETRY_MILLIS = 500;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final int MAX_OPEN_KEYS = 65_536;
    private static final int OUT_AFTER_FAILED_READS = 2;

    private final LogService logService;
    private final TimeSource time;
    private final String writer;
    private final long claimMillis;
    private final long batchWindowMillis;
    private final ClaimFold fold;
    private final Predicate<String> liveWriters;
    private final ClaimOutbox outbox;
    private final Map<String, PendingClaim> pending = new HashMap<>();

    /** Won claims that are being worked on, with their keys; the oldest service calls that never answered drop out. */
    private final Map<String, String> openKeys = new LinkedHashMap<>();

    private long nextOffset;
    private long nextClaim;
    private int failedReads;
    private boolean appending;
    private boolean flushPlanned;
    private boolean stopped;

    /**
     * Creates a ledger; {@link #start()} makes it read.
     *
     * @param logService the platform's log, not null
     * @param time the clock and timers, not null
     * @param writer names this start of this instance and no other one, not null
     * @param claimMillis how long a claim is waited for, in milliseconds
     * @param batchWindowMillis how long the first claim of a batch waits for others, in milliseconds
     * @param fold takes the stream, empty at first, not null; not used by others afterwards
     * @param liveWriters whether another start of an instance is believed alive, by its name, not null
     */
    public LogClaimLedger(
            LogService logService,
            TimeSource time,
            String writer,
            long claimMillis,
            long batchWindowMillis,
            ClaimFold fold,
            Predicate<String> liveWriters) {
        this.logService = Objects.requireNonNull(logService, "logService");
        this.time = Objects.requireNonNull(time, "time");
        this.writer = Objects.requireNonNull(writer, "writer");
        this.claimMillis = claimMillis;
        this.batchWindowMillis = batchWindowMillis;
        this.fold = Objects.requireNonNull(fold, "fold");
        this.liveWriters = Objects.requireNonNull(liveWriters, "liveWriters");
        this.outbox = new ClaimOutbox(writer);
    }

    /** Starts to read the stream from its oldest retained record. */
    public void start() {
        readOn();
    }

    /** Stops reading and appending; what is pending is refused. */
    public void stop() {
        List<Runnable> calls;
        synchronized (this) {
            stopped = true;
            calls = voidAll("this instance is stopping");
        }
        calls.forEach(Runnable::run);
    }

    @Override
    public void claim(ClaimRequest claim, Consumer<ClaimOutcome> outcome) {
        Optional<ClaimOutcome> known = claimNow(claim, outcome);
        known.ifPresent(outcome);
    }

    private synchronized Optional<ClaimOutcome> claimNow(ClaimRequest claim, Consumer<ClaimOutcome> outcome) {
        long nowMillis = time.monotonicMillis();
        Optional<ClaimFold.Entry> held = fold.find(claim.keyHash(), nowMillis);
        if (held.isPresent()) {
            return Optional.of(outcomeOf(claim, held.get()));
        }
        if (stopped || failedReads >= OUT_AFTER_FAILED_READS) {
            return Optional.of(new ClaimOutcome.Unavailable("the log is out", RETRY_AFTER_MILLIS));
        }
        if (fold.isFull()) {
            return Optional.of(new ClaimOutcome.Unavailable("too many keys are remembered", RETRY_AFTER_MILLIS));
        }
        String claimId = writer + "." + nextClaim++;
        PendingClaim added = new PendingClaim(claim, outcome, nowMillis + claimMillis);
        pending.put(claimId, added);
        outbox.add(new ClaimRecord.Claimed(
                claimId,
                claim.keyHash(),
                claim.fingerprint(),
                claim.pointer().target(),
                claim.pointer().attemptId()));
        planFlush(batchWindowMillis);
        time.schedule(claimMillis, () -> giveUp(claimId));
        return Optional.empty();
    }

    private ClaimOutcome outcomeOf(ClaimRequest claim, ClaimFold.Entry held) {
        return held.fingerprint() == claim.fingerprint()
                ? new ClaimOutcome.Earlier(withClaimant(held.claim()))
                : new ClaimOutcome.KeyReused();
    }

    private HeldClaim withClaimant(HeldClaim claim) {
        boolean own = claim.claimant().equals(writer);
        return claim.withRunning(own ? openKeys.containsKey(claim.claimId()) : liveWriters.test(claim.claimant()));
    }

    private void giveUp(String claimId) {
        PendingClaim given;
        synchronized (this) {
            given = pending.get(claimId);
            if (given == null) {
                return;
            }
            voidClaim(claimId);
        }
        given.outcome().accept(new ClaimOutcome.Unavailable("the log is slow", RETRY_AFTER_MILLIS));
    }

    /** From here on the claim is nobody's: {@link #onOwnClaim} releases it where it turns up. */
    private void voidClaim(String claimId) {
        pending.remove(claimId);
        outbox.takeBack(claimId);
        outbox.dropUnconfirmed(claimId);
    }

    @Override
    public synchronized Optional<HeldClaim> held(ClaimRequest claim) {
        return fold.find(claim.keyHash(), time.monotonicMillis()).map(entry -> withClaimant(entry.claim()));
    }

    @Override
    public synchronized void moved(String claimId, StreamPointer pointer) {
        String keyHash = openKeys.get(claimId);
        if (keyHash != null) {
            append(new ClaimRecord.Moved(claimId, keyHash, pointer.target(), pointer.attemptId()));
        }
    }

    @Override
    public synchronized void completed(String claimId, KeptAnswer answer) {
        String keyHash = openKeys.remove(claimId);
        if (keyHash != null) {
            append(new ClaimRecord.Completed(claimId, keyHash, ClaimedAnswer.of(answer)));
        }
    }

    @Override
    public synchronized void released(String claimId) {
        String keyHash = openKeys.remove(claimId);
        if (keyHash != null) {
            append(new ClaimRecord.Released(claimId, keyHash));
        }
    }

    @Override
    public synchronized void abandoned(String claimId) {
        openKeys.remove(claimId);
    }

    @Override
    public void read(HeldClaim claim, Consumer<Optional<KeptAnswer>> answer) {
        logService
                .read(STREAM, claim.outcomeOffset(), 1, 0)
                .whenComplete((result, _fault) ->
                        answer.accept(Optional.ofNullable(result).flatMap(found -> answerIn(found, claim))));
    }

    private static Optional<KeptAnswer> answerIn(ReadResult result, HeldClaim claim) {
        List<LogRecord> records = result.match(ReadResult.Records::records, _expired -> List.of(), _out -> List.of());
        return records.stream()
                .filter(each -> each.offset() == claim.outcomeOffset())
                .flatMap(each -> ClaimCodec.decode(each.payload()).stream())
                .flatMap(batch -> batch.records().stream())
                .filter(each -> each.claimId().equals(claim.claimId()))
                .filter(ClaimRecord.Completed.class::isInstance)
                .map(each -> ((ClaimRecord.Completed) each).answer().toKept())
                .findFirst();
    }

    /**
     * Returns how many keys are remembered.
     *
     * @return the count
     */
    public synchronized int keys() {
        return fold.size();
    }

    private void append(ClaimRecord entry) {
        outbox.add(entry);
        planFlush(batchWindowMillis);
    }

    private void planFlush(long delayMillis) {
        if (!flushPlanned && !appending) {
            flushPlanned = true;
            time.schedule(delayMillis, this::flush);
        }
    }

    /** One append at a time: while it is out, the next batch gathers, so that batches grow as the log slows down. */
    private void flush() {
        ClaimBatch batch;
        synchronized (this) {
            flushPlanned = false;
            if (appending || outbox.isEmpty()) {
                return;
            }
            appending = true;
            batch = outbox.next();
        }
        logService
                .append(STREAM, ClaimCodec.encode(batch))
                .whenComplete((result, fault) ->
                        onAppended(batch, result != null ? result : new AppendResult.Unknown("append: " + fault)));
    }

    private void onAppended(ClaimBatch batch, AppendResult result) {
        List<Runnable> calls = new ArrayList<>();
        synchronized (this) {
            appending = false;
            long againMillis = batchWindowMillis;
            if (!(result instanceof AppendResult.Unknown)) {
                outbox.onDecided(batch);
            }
            if (result instanceof AppendResult.Refused refused) {
                outbox.putBack(
                        batch.records().stream().filter(this::stillWanted).toList());
                againMillis = Math.max(batchWindowMillis, refused.retryAfterMillis());
                calls.addAll(refuseUnmet(refused, time.monotonicMillis() + againMillis));
            } else if (result instanceof AppendResult.Unknown) {
                time.schedule(UNKNOWN_RETRY_MILLIS, () -> retryUnknown(batch.batch()));
            }
            if (!outbox.isEmpty()) {
                planFlush(againMillis);
            }
        }
        calls.forEach(Runnable::run);
    }

    private boolean stillWanted(ClaimRecord entry) {
        return !(entry instanceof ClaimRecord.Claimed) || pending.containsKey(entry.claimId());
    }

    /** A claim that cannot be appended before its time is up is refused at once: waiting would change nothing. */
    private List<Runnable> refuseUnmet(AppendResult.Refused refused, long nextTryMillis) {
        List<String> unmet = pending.entrySet().stream()
                .filter(each -> each.getValue().giveUpMillis() <= nextTryMillis)
                .map(Map.Entry::getKey)
                .toList();
        return voidEach(unmet, refused.detail(), Math.max(RETRY_AFTER_MILLIS, refused.retryAfterMillis()));
    }

    private List<Runnable> voidAll(String detail) {
        return voidEach(List.copyOf(pending.keySet()), detail, RETRY_AFTER_MILLIS);
    }

    private List<Runnable> voidEach(List<String> claimIds, String detail, long retryAfterMillis) {
        List<Runnable> calls = new ArrayList<>();
        for (String claimId : claimIds) {
            Consumer<ClaimOutcome> outcome = pending.get(claimId).outcome();
            voidClaim(claimId);
            calls.add(() -> outcome.accept(new ClaimOutcome.Unavailable(detail, retryAfterMillis)));
        }
        return calls;
    }

    private synchronized void retryUnknown(long batch) {
        outbox.retryUnconfirmed(batch);
        if (!outbox.isEmpty()) {
            planFlush(0);
        }
    }

    private void readOn() {
        long fromOffset;
        synchronized (this) {
            if (stopped) {
                return;
            }
            fromOffset = nextOffset;
        }
        logService
                .read(STREAM, fromOffset, READ_RECORDS, READ_WAIT_MILLIS)
                .whenComplete((result, fault) ->
                        onRead(result != null ? result : new ReadResult.Unavailable("read: " + fault)));
    }

    private void onRead(ReadResult result) {
        List<Runnable> calls = new ArrayList<>();
        boolean failed;
        synchronized (this) {
            failed = result instanceof ReadResult.Unavailable;
            if (result instanceof ReadResult.Records records) {
                records.records().forEach(each -> calls.addAll(fold(each)));
            } else if (result instanceof ReadResult.Expired expired) {
                // What expired is older than the key memory, which the settings keep below the log's retention.
                nextOffset = expired.firstRetainedOffset();
            }
            failedReads = failed ? failedReads + 1 : 0;
            if (failedReads >= OUT_AFTER_FAILED_READS) {
                calls.addAll(voidAll("the log is out"));
            }
        }
        calls.forEach(Runnable::run);
        if (failed) {
            time.schedule(READ_RETRY_MILLIS, this::readOn);
        } else {
            readOn();
        }
    }

    private List<Runnable> fold(LogRecord found) {
        nextOffset = found.offset() + 1;
        List<Runnable> calls = new ArrayList<>();
        ClaimCodec.decode(found.payload()).ifPresent(batch -> {
            boolean own = batch.writer().equals(writer);
            if (own) {
                outbox.onDecided(batch);
            }
            for (ClaimRecord entry : batch.records()) {
                fold.apply(found.offset(), entry, time.monotonicMillis());
                if (own && entry instanceof ClaimRecord.Claimed claimed) {
                    onOwnClaim(claimed).ifPresent(calls::add);
                }
            }
        });
        return calls;
    }

    private Optional<Runnable> onOwnClaim(ClaimRecord.Claimed claimed) {
        long nowMillis = time.monotonicMillis();
        Optional<ClaimFold.Entry> held = fold.find(claimed.keyHash(), nowMillis);
        boolean first = held.isPresent() && held.get().claim().claimId().equals(claimed.claimId());
        PendingClaim waiting = pending.remove(claimed.claimId());
        if (waiting == null) {
            if (first && !openKeys.containsKey(claimed.claimId())) {
                append(new ClaimRecord.Released(claimed.claimId(), claimed.keyHash()));
            }
            return Optional.empty();
        }
        if (first && nowMillis > waiting.giveUpMillis()) {
            // This process was paused while it waited. Others may have forgotten the key since: the claim is void.
            append(new ClaimRecord.Released(claimed.claimId(), claimed.keyHash()));
            return Optional.of(() -> waiting.outcome()
                    .accept(new ClaimOutcome.Unavailable("the claim was read back too late", RETRY_AFTER_MILLIS)));
        }
        if (first) {
            openKeys.put(claimed.claimId(), claimed.keyHash());
            if (openKeys.size() > MAX_OPEN_KEYS) {
                openKeys.remove(openKeys.keySet().iterator().next());
            }
            return Optional.of(() -> waiting.outcome().accept(new ClaimOutcome.Won(claimed.claimId())));
        }
        ClaimOutcome lost = held.map(entry -> outcomeOf(waiting.claim(), entry))
                .orElseGet(() -> new ClaimOutcome.Unavailable("the claim was released", RETRY_AFTER_MILLIS));
        return Optional.of(() -> waiting.outcome().accept(lost));
    }

    private record PendingClaim(ClaimRequest claim, Consumer<ClaimOutcome> outcome, long giveUpMillis) {}
}
