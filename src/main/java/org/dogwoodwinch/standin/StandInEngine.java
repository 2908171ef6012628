package org.dogwoodwinch.standin;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.target.AnswerListener;
import org.dogwoodwinch.target.AnswerStream;
import org.dogwoodwinch.target.CacheEvent;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.EngineConfiguration;
import org.dogwoodwinch.target.EngineOrder;
import org.dogwoodwinch.target.EngineState;
import org.dogwoodwinch.target.GenerateCall;
import org.dogwoodwinch.target.KvReference;
import org.dogwoodwinch.target.LoadReport;
import org.dogwoodwinch.target.NoOpAnswerStream;
import org.dogwoodwinch.target.OrderResult;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TargetReply;
import org.dogwoodwinch.time.TimeSource;

/**
 * A small model engine in memory: batches continuously in steps of {@link EngineCost}, caches prefixes, takes orders.
 *
 * <p>It runs on any {@link TimeSource}, so the same engine serves HTTP in the demo and virtual time in tests. Answers and
 * listener calls come from timers or from the calls that cause them; all under one lock. Thread-safe.
 */
public final class StandInEngine implements EngineClient {

    private final String name;
    private final String address;
    private final StandInEngineOptions options;
    private final TimeSource time;
    private final StandInEngineObserver observer;
    private final PrefixCache cache;
    private final StandInBatch batch;
    private final Map<String, StandInSequence> streams = new HashMap<>();
    private final LoadReportHistory reports = new LoadReportHistory();
    private final CacheEventLog cacheEvents;
    private EngineConfiguration configuration;
    private String appliedOrderId = "";
    private long highestFencingToken = -1;
    private long startedCount = 1;
    private long epoch;
    private boolean ready = true;
    private boolean down;
    private boolean leaving;
    private boolean stepping;
    private long reportLagMillis;

    /**
     * Creates an engine that is ready.
     *
     * @param name its name as a target, not null
     * @param address where other engines import KV caches from, as {@code host:port}, not null
     * @param configuration what it runs at first, not null
     * @param options how it behaves, not null
     * @param time gives the time and carries the steps, not null
     * @param observer hears what it really did, not null
     */
    public StandInEngine(
            String name,
            String address,
            EngineConfiguration configuration,
            StandInEngineOptions options,
            TimeSource time,
            StandInEngineObserver observer) {
        this.name = Objects.requireNonNull(name, "name");
        this.address = Objects.requireNonNull(address, "address");
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.options = Objects.requireNonNull(options, "options");
        this.reportLagMillis = options.reportLagMillis();
        this.time = Objects.requireNonNull(time, "time");
        this.observer = Objects.requireNonNull(observer, "observer");
        this.cacheEvents = new CacheEventLog(time::monotonicMillis, options.cacheEventLagMillis());
        this.cache = new PrefixCache(
                PrefixCache.maxBlocks(options.cost()), cacheEvents::recordStored, cacheEvents::recordEvicted);
        this.batch = new StandInBatch(options.cost(), cache);
        recordLoad();
    }

    @Override
    public synchronized AnswerStream generate(GenerateCall call, AnswerListener listener) {
        Objects.requireNonNull(listener, "listener");
        Optional<TargetFailure> refusal = refusalOf(call);
        if (refusal.isPresent()) {
            time.schedule(0, () -> listener.onFailure(refusal.get()));
            return NoOpAnswerStream.INSTANCE;
        }
        StandInSequence sequence = new StandInSequence(call, listener);
        streams.put(call.attemptId(), sequence);
        observer.onExecuted(name, call.attemptId(), call.prompt());
        if (StandInText.crashes(call.prompt())) {
            time.schedule(1, this::crash);
        }
        long transferMillis = call.kvReference()
                .map(_reference -> Math.round(options.cost().kvTransferMillis(sequence.promptTokens())))
                .orElse(0L);
        if (transferMillis > 0) {
            long startEpoch = epoch;
            time.schedule(transferMillis, () -> enqueue(sequence, startEpoch));
        } else {
            enqueue(sequence, epoch);
        }
        return connect(sequence, listener);
    }

    @Override
    public synchronized AnswerStream resume(String attemptId, long fromSequence, AnswerListener listener) {
        StandInSequence sequence = streams.get(attemptId);
        if (down || sequence == null) {
            TargetFailure failure = down
                    ? new TargetFailure.NotSent("the engine is down")
                    : new TargetFailure.Refused("no such stream", false, false, 0);
            time.schedule(0, () -> listener.onFailure(failure));
            return NoOpAnswerStream.INSTANCE;
        }
        sequence.attach(listener, fromSequence);
        time.schedule(0, () -> deliver(sequence));
        return connect(sequence, listener);
    }

    private AnswerStream connect(StandInSequence sequence, AnswerListener listener) {
        long startEpoch = epoch;
        return new StandInAnswerStream(sequence, listener, this, () -> cancel(sequence, startEpoch));
    }

    private synchronized void cancel(StandInSequence sequence, long startEpoch) {
        if (startEpoch == epoch) {
            cancel(sequence.call().attemptId());
        }
    }

    @Override
    public synchronized CompletionStage<TargetReply<LoadReport>> fetchLoadReport() {
        if (down) {
            return failed();
        }
        recordLoad();
        return answered(reports.newestAsOldAs(time.wallMillis() - reportLagMillis));
    }

    @Override
    public synchronized CompletionStage<TargetReply<List<CacheEvent>>> fetchCacheEvents(long afterSequence) {
        if (down) {
            return failed();
        }
        return answered(cacheEvents.after(afterSequence));
    }

    @Override
    public synchronized CompletionStage<TargetReply<KvReference>> exportKv(String attemptId) {
        StandInSequence sequence = streams.get(attemptId);
        if (down) {
            return failed();
        }
        if (sequence == null || sequence.prefillRemaining() > 0) {
            return CompletableFuture.completedFuture(
                    new TargetReply.Failure<>(new TargetFailure.Refused("no such KV cache", false, false, 0)));
        }
        int tokens = sequence.contextTokens();
        return answered(new KvReference(
                name, address, attemptId, tokens * options.cost().kvBytesPerToken(), tokens - sequence.promptTokens()));
    }

    @Override
    public synchronized CompletionStage<OrderResult> sendOrder(EngineOrder order) {
        if (down) {
            return CompletableFuture.completedFuture(new OrderResult.Refused("the engine is down"));
        }
        if (options.checksFencing() && order.fencingToken() < highestFencingToken) {
            return CompletableFuture.completedFuture(new OrderResult.Fenced(highestFencingToken));
        }
        highestFencingToken = options.checksFencing() ? order.fencingToken() : -1;
        if (!order.orderId().equals(appliedOrderId)) {
            apply(order);
        }
        return CompletableFuture.completedFuture(new OrderResult.Accepted(stateNow()));
    }

    @Override
    public synchronized CompletionStage<TargetReply<EngineState>> fetchState() {
        return down ? failed() : answered(stateNow());
    }

    /** Crashes the engine: all streams break, caches and the last order's id are lost, and it restarts by itself. */
    public synchronized void crash() {
        if (down) {
            return;
        }
        down = true;
        cache.clear();
        appliedOrderId = "";
        breakAll("the engine crashed", false);
        time.schedule(options.restartMillis(), this::restart);
    }

    /**
     * Changes how old its load reports are.
     *
     * @param newReportLagMillis the lag, in milliseconds
     */
    public synchronized void setReportLagMillis(long newReportLagMillis) {
        reportLagMillis = newReportLagMillis;
    }

    /**
     * Marks the engine as leaving or not: a leaving one refuses new requests and finishes those it has.
     *
     * @param newLeaving whether it is leaving
     */
    public synchronized void setLeaving(boolean newLeaving) {
        leaving = newLeaving;
    }

    /**
     * The connection of a stream broke: the engine runs on and keeps the stream for one that joins it again.
     *
     * @param attemptId the stream's attempt id, not null
     */
    public synchronized void detach(String attemptId) {
        StandInSequence sequence = streams.get(attemptId);
        if (sequence != null) {
            sequence.detach();
        }
    }

    /**
     * Cancels a stream; one that is unknown is left alone.
     *
     * @param attemptId the stream's attempt id, not null
     */
    public synchronized void cancel(String attemptId) {
        StandInSequence sequence = streams.remove(attemptId);
        if (sequence != null) {
            sequence.detach();
            batch.remove(sequence);
        }
    }

    /**
     * Returns how many requests are waiting or running.
     *
     * @return the count
     */
    public synchronized int inFlight() {
        return batch.size();
    }

    private Optional<TargetFailure> refusalOf(GenerateCall call) {
        if (down) {
            return Optional.of(new TargetFailure.NotSent("the engine is down"));
        }
        if (leaving) {
            return Optional.of(new TargetFailure.Refused("the engine is leaving", false, true, 0));
        }
        if (!ready) {
            return Optional.of(new TargetFailure.Refused("the engine is changing", false, false, 1_000));
        }
        if (!call.model().equals(configuration.model())) {
            return Optional.of(new TargetFailure.Refused("the model is not loaded", false, false, 0));
        }
        boolean needsPrefill = call.kvReference().isEmpty();
        boolean servesIt = (!needsPrefill || configuration.role().servesPrefill())
                && (call.prefillOnly() || configuration.role().servesDecode());
        if (!servesIt) {
            return Optional.of(new TargetFailure.Refused("the engine's role does not serve this", false, false, 0));
        }
        if (batch.waitingCount() >= options.maxWaiting()) {
            return Optional.of(new TargetFailure.Refused("too many requests wait", true, false, 1_000));
        }
        return Optional.empty();
    }

    private synchronized void enqueue(StandInSequence sequence, long startEpoch) {
        if (startEpoch != epoch || streams.get(sequence.call().attemptId()) != sequence) {
            return;
        }
        batch.add(sequence);
        startStep();
    }

    private void startStep() {
        if (stepping || down) {
            return;
        }
        batch.fill();
        recordLoad();
        if (batch.isIdle()) {
            return;
        }
        stepping = true;
        StandInBatch.Step step = batch.beginStep();
        long stepEpoch = epoch;
        time.schedule(step.millis(), () -> endStep(step.generating(), stepEpoch));
    }

    private synchronized void endStep(List<StandInSequence> generating, long stepEpoch) {
        if (stepEpoch != epoch) {
            return;
        }
        stepping = false;
        for (StandInSequence sequence : generating) {
            sequence.generateToken();
            if (sequence.isFinished() && batch.remove(sequence)) {
                forgetLater(sequence);
            }
            deliver(sequence);
        }
        startStep();
    }

    private synchronized void deliver(StandInSequence sequence) {
        sequence.deliver();
    }

    private void forgetLater(StandInSequence sequence) {
        String attemptId = sequence.call().attemptId();
        time.schedule(options.streamKeepMillis(), () -> forget(attemptId, sequence));
    }

    private synchronized void forget(String attemptId, StandInSequence sequence) {
        streams.remove(attemptId, sequence);
    }

    private void apply(EngineOrder order) {
        boolean loadsModel = !order.configuration().model().equals(configuration.model())
                || !order.configuration().modelVersion().equals(configuration.modelVersion());
        boolean changes = !order.configuration().equals(configuration);
        appliedOrderId = order.orderId();
        configuration = order.configuration();
        observer.onApplied(name, order);
        if (!changes) {
            return;
        }
        breakAll("an order changed the engine", true);
        if (loadsModel) {
            cache.clear();
        }
        ready = false;
        long awayMillis =
                loadsModel ? options.cost().modelLoadMillis() : options.cost().roleChangeMillis();
        long changeEpoch = epoch;
        time.schedule(awayMillis, () -> becomeReady(changeEpoch));
    }

    private synchronized void becomeReady(long changeEpoch) {
        if (changeEpoch == epoch) {
            ready = true;
        }
    }

    private synchronized void restart() {
        down = false;
        ready = true;
        startedCount++;
    }

    private void breakAll(String detail, boolean byOrder) {
        epoch++;
        stepping = false;
        List<StandInSequence> broken = batch.removeAll();
        streams.clear();
        for (StandInSequence sequence : broken) {
            if (byOrder) {
                observer.onCut(name, sequence.call().attemptId());
            } else {
                observer.onCrashCut(name, sequence.call().attemptId());
            }
            AnswerListener listener = sequence.listener();
            sequence.detach();
            if (listener != null) {
                time.schedule(0, () -> listener.onFailure(new TargetFailure.Broken(detail)));
            }
        }
    }

    private EngineState stateNow() {
        return new EngineState(configuration, appliedOrderId, highestFencingToken, ready, startedCount);
    }

    private void recordLoad() {
        reports.add(batch.loadReport(time.wallMillis()));
    }

    private static <T> CompletionStage<TargetReply<T>> answered(T value) {
        return CompletableFuture.completedFuture(new TargetReply.Answer<>(value));
    }

    private static <T> CompletionStage<TargetReply<T>> failed() {
        return CompletableFuture.completedFuture(
                new TargetReply.Failure<>(new TargetFailure.NotSent("the engine is down")));
    }
}
