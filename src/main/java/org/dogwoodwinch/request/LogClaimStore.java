package org.dogwoodwinch.request;

import java.util.ArrayList;
import java.util.HashMap;
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
 * Stores claims on the platform's log. Claims are appended in batches, and a claim is acquired only when it is read
 * back from the stream as the first claim of its key.
 *
 * <p>The reply to an append decides nothing, because it can be lost after the append took effect. A claim that is not
 * read back within its timeout is discarded: its request was refused as not run, so the claim is never acted on, and it
 * is released if it appears on the log later. Until then, other instances treat it as a request that may have run,
 * which is the safe assumption.
 */
public final class LogClaimStore implements ClaimStore {

    /** The stream's name on the log. */
    public static final String STREAM_NAME = "claims";

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final LogService logService;
    private final TimeSource time;
    private final String writerId;
    private final long claimTimeoutMillis;
    private final ClaimIndex index;
    private final Predicate<String> liveWriters;
    private final ClaimAppender appender;
    private final ClaimStreamReader reader;
    private final Map<String, PendingClaim> pendingClaims = new HashMap<>();
    private final ActiveClaims activeClaims = new ActiveClaims();
    private long nextClaimNumber;

    /**
     * Creates a claim store, which reads the stream once {@link #start()} is called.
     *
     * @param logService the platform's log, not null
     * @param time the clock and timers, not null
     * @param writerId identifies this start of this instance; must be unique among all starts of all instances, not
     *     null
     * @param claimTimeoutMillis how long a claim may take to be read back, in milliseconds
     * @param batchWindowMillis how long the first claim of a batch waits for further ones, in milliseconds
     * @param index the empty index that the stream is applied to, not null; the caller must not use it afterwards
     * @param liveWriters tests whether the writer with a given id is believed to be alive, not null
     */
    public LogClaimStore(
            LogService logService,
            TimeSource time,
            String writerId,
            long claimTimeoutMillis,
            long batchWindowMillis,
            ClaimIndex index,
            Predicate<String> liveWriters) {
        this.logService = Objects.requireNonNull(logService, "logService");
        this.time = Objects.requireNonNull(time, "time");
        this.writerId = Objects.requireNonNull(writerId, "writerId");
        this.claimTimeoutMillis = claimTimeoutMillis;
        this.index = Objects.requireNonNull(index, "index");
        this.liveWriters = Objects.requireNonNull(liveWriters, "liveWriters");
        this.appender = new ClaimAppender(
                logService,
                time,
                batchWindowMillis,
                this,
                new ClaimOutbox(writerId),
                this::isStillNeeded,
                this::refuseExpiring);
        this.reader = new ClaimStreamReader(
                logService, time, this, this::applyRecord, () -> discardAll("the claim log is unavailable"));
    }

    /** Starts reading the stream at its oldest retained record. */
    public void start() {
        reader.readNext();
    }

    /** Stops reading the stream and refuses the pending claims. */
    public void stop() {
        List<Runnable> callbacks;
        synchronized (this) {
            reader.stop();
            callbacks = discardAll("this instance is shutting down");
        }
        callbacks.forEach(Runnable::run);
    }

    @Override
    public void claim(ClaimRequest claim, Consumer<ClaimOutcome> outcome) {
        Optional<ClaimOutcome> immediate = startClaim(claim, outcome);
        immediate.ifPresent(outcome);
    }

    private synchronized Optional<ClaimOutcome> startClaim(ClaimRequest claim, Consumer<ClaimOutcome> outcome) {
        long nowMillis = time.monotonicMillis();
        Optional<ClaimIndex.Entry> held = index.find(claim.keyHash(), nowMillis);
        if (held.isPresent()) {
            return Optional.of(outcomeOf(claim, held.get()));
        }
        if (!reader.isAvailable()) {
            return Optional.of(new ClaimOutcome.Unavailable("the claim log is unavailable", RETRY_AFTER_MILLIS));
        }
        if (index.isFull()) {
            return Optional.of(new ClaimOutcome.Unavailable(
                    "the limit on retained idempotency keys is reached", RETRY_AFTER_MILLIS));
        }
        String claimId = writerId + "." + nextClaimNumber++;
        PendingClaim added = new PendingClaim(claim, outcome, nowMillis + claimTimeoutMillis);
        pendingClaims.put(claimId, added);
        appender.append(new ClaimRecord.Claimed(
                claimId,
                claim.keyHash(),
                claim.fingerprint(),
                claim.pointer().target(),
                claim.pointer().attemptId()));
        time.schedule(claimTimeoutMillis, () -> timeOut(claimId));
        return Optional.empty();
    }

    private ClaimOutcome outcomeOf(ClaimRequest claim, ClaimIndex.Entry held) {
        return held.fingerprint() == claim.fingerprint()
                ? new ClaimOutcome.AlreadyClaimed(withProgress(held.claim()))
                : new ClaimOutcome.KeyReused();
    }

    private HeldClaim withProgress(HeldClaim claim) {
        boolean own = claim.writerId().equals(writerId);
        return claim.withInProgress(own ? activeClaims.contains(claim.claimId()) : liveWriters.test(claim.writerId()));
    }

    private void timeOut(String claimId) {
        PendingClaim timedOut;
        synchronized (this) {
            timedOut = pendingClaims.get(claimId);
            if (timedOut == null) {
                return;
            }
            discardClaim(claimId);
        }
        timedOut.outcome()
                .accept(new ClaimOutcome.Unavailable(
                        "the claim was not confirmed by the log in time", RETRY_AFTER_MILLIS));
    }

    /** Discards a pending claim; {@link #onOwnClaim} releases it if it appears on the log later. */
    private void discardClaim(String claimId) {
        pendingClaims.remove(claimId);
        appender.discardClaim(claimId);
    }

    @Override
    public synchronized Optional<HeldClaim> findHolder(ClaimRequest claim) {
        return index.find(claim.keyHash(), time.monotonicMillis()).map(entry -> withProgress(entry.claim()));
    }

    @Override
    public synchronized void recordMove(String claimId, StreamPointer pointer) {
        activeClaims
                .find(claimId)
                .ifPresent(keyHash -> appender.append(
                        new ClaimRecord.Moved(claimId, keyHash, pointer.target(), pointer.attemptId())));
    }

    @Override
    public synchronized void recordAnswer(String claimId, StoredAnswer answer) {
        activeClaims
                .remove(claimId)
                .ifPresent(keyHash ->
                        appender.append(new ClaimRecord.Completed(claimId, keyHash, StoredAnswerRecord.of(answer))));
    }

    @Override
    public synchronized void release(String claimId) {
        activeClaims.remove(claimId).ifPresent(keyHash -> appender.append(new ClaimRecord.Released(claimId, keyHash)));
    }

    @Override
    public synchronized void abandon(String claimId) {
        activeClaims.remove(claimId);
    }

    @Override
    public void readAnswer(HeldClaim claim, Consumer<Optional<StoredAnswer>> answer) {
        logService
                .read(STREAM_NAME, claim.outcomeOffset(), 1, 0)
                .whenComplete((result, _fault) ->
                        answer.accept(Optional.ofNullable(result).flatMap(found -> findAnswer(found, claim))));
    }

    private static Optional<StoredAnswer> findAnswer(ReadResult result, HeldClaim claim) {
        List<LogRecord> records = result.match(ReadResult.Records::records, _expired -> List.of(), _out -> List.of());
        return records.stream()
                .filter(each -> each.offset() == claim.outcomeOffset())
                .flatMap(each -> ClaimCodec.decode(each.payload()).stream())
                .flatMap(batch -> batch.records().stream())
                .filter(each -> each.claimId().equals(claim.claimId()))
                .filter(ClaimRecord.Completed.class::isInstance)
                .map(each -> ((ClaimRecord.Completed) each).answer().toStoredAnswer())
                .findFirst();
    }

    /**
     * Returns the number of retained keys.
     *
     * @return the count
     */
    public synchronized int keyCount() {
        return index.size();
    }

    private boolean isStillNeeded(ClaimRecord entry) {
        return !(entry instanceof ClaimRecord.Claimed) || pendingClaims.containsKey(entry.claimId());
    }

    /** Refuses claims whose timeout expires before the next append, since waiting could not change the result. */
    private List<Runnable> refuseExpiring(AppendResult.Refused refused, long nextAppendMillis) {
        List<String> expiring = pendingClaims.entrySet().stream()
                .filter(each -> each.getValue().deadlineMillis() <= nextAppendMillis)
                .map(Map.Entry::getKey)
                .toList();
        return discardEach(expiring, refused.detail(), Math.max(RETRY_AFTER_MILLIS, refused.retryAfterMillis()));
    }

    private List<Runnable> discardAll(String detail) {
        return discardEach(List.copyOf(pendingClaims.keySet()), detail, RETRY_AFTER_MILLIS);
    }

    private List<Runnable> discardEach(List<String> claimIds, String detail, long retryAfterMillis) {
        List<Runnable> callbacks = new ArrayList<>();
        for (String claimId : claimIds) {
            Consumer<ClaimOutcome> outcome = pendingClaims.get(claimId).outcome();
            discardClaim(claimId);
            callbacks.add(() -> outcome.accept(new ClaimOutcome.Unavailable(detail, retryAfterMillis)));
        }
        return callbacks;
    }

    private List<Runnable> applyRecord(LogRecord found) {
        List<Runnable> callbacks = new ArrayList<>();
        ClaimCodec.decode(found.payload()).ifPresent(batch -> {
            boolean own = batch.writerId().equals(writerId);
            if (own) {
                appender.onReadBack(batch);
            }
            for (ClaimRecord entry : batch.records()) {
                index.apply(found.offset(), entry, time.monotonicMillis());
                if (own && entry instanceof ClaimRecord.Claimed claimed) {
                    onOwnClaim(claimed).ifPresent(callbacks::add);
                }
            }
        });
        return callbacks;
    }

    private Optional<Runnable> onOwnClaim(ClaimRecord.Claimed claimed) {
        long nowMillis = time.monotonicMillis();
        Optional<ClaimIndex.Entry> held = index.find(claimed.keyHash(), nowMillis);
        boolean first = held.isPresent() && held.get().claim().claimId().equals(claimed.claimId());
        PendingClaim pendingClaim = pendingClaims.remove(claimed.claimId());
        if (pendingClaim == null) {
            if (first && !activeClaims.contains(claimed.claimId())) {
                appender.append(new ClaimRecord.Released(claimed.claimId(), claimed.keyHash()));
            }
            return Optional.empty();
        }
        if (first && nowMillis > pendingClaim.deadlineMillis()) {
            // This process was paused past the claim's timeout. Other instances may have evicted the key since then, so
            // the claim must not be used.
            appender.append(new ClaimRecord.Released(claimed.claimId(), claimed.keyHash()));
            return Optional.of(() -> pendingClaim
                    .outcome()
                    .accept(new ClaimOutcome.Unavailable(
                            "the claim was read back from the log after its timeout", RETRY_AFTER_MILLIS)));
        }
        if (first) {
            activeClaims.add(claimed.claimId(), claimed.keyHash());
            return Optional.of(() -> pendingClaim.outcome().accept(new ClaimOutcome.Acquired(claimed.claimId())));
        }
        ClaimOutcome outcome = held.map(entry -> outcomeOf(pendingClaim.claim(), entry))
                .orElseGet(() -> new ClaimOutcome.Unavailable(
                        "the claim was no longer held when it was read back", RETRY_AFTER_MILLIS));
        return Optional.of(() -> pendingClaim.outcome().accept(outcome));
    }

    private record PendingClaim(ClaimRequest claim, Consumer<ClaimOutcome> outcome, long deadlineMillis) {}
}
