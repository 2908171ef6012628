package org.dogwoodwinch.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
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

    private static final int CACHE_EVENTS_KEPT = 4_096;
    private static final int CHARACTERS_PER_TOKEN = 4;

    private final String name;
    private final String address;
    private final StandInEngineOptions options;
    private final TimeSource time;
    private final StandInEngineObserver observer;
    private final PrefixCache cache;
    private final Deque<StandInSequence> waiting = new ArrayDeque<>();
    private final List<StandInSequence> running = new ArrayList<>();
    private final Map<String, StandInSequence> streams = new HashMap<>();
    private final LoadReportHistory reports = new LoadReportHistory();
    private final Deque<TimedCacheEvent> cacheEvents = new ArrayDeque<>();
    private EngineConfiguration configuration;
    private String appliedOrderId = "";
    private long highestFencingToken = -1;
    private long startedCount = 1;
    private long epoch;
    private long cacheEventSequence;
    private boolean ready = true;
    private boolean down;
    private boolean leaving;
    private boolean stepping;
    private double carriedMillis;
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
        this.cache = new PrefixCache(maxBlocks(options.cost()), this::recordStored, this::recordEvicted);
        recordLoad();
    }

    @Override
    public synchronized AnswerStream generate(GenerateCall call, AnswerListener listener) {
        Objects.requireNonNull(listener, "listener");
        Optional<TargetFailure> refusal = refusalOf(call);
        if (refusal.isPresent()) {
            long refusedEpoch = epoch;
            time.schedule(0, () -> listener.onFailure(refusal.get()));
            return new Handle(null, refusedEpoch, listener);
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
        return new Handle(sequence, epoch, listener);
    }

    @Override
    public synchronized AnswerStream resume(String attemptId, long fromSequence, AnswerListener listener) {
        StandInSequence sequence = streams.get(attemptId);
        if (down || sequence == null) {
            TargetFailure failure = down
                    ? new TargetFailure.NotSent("the engine is down")
                    : new TargetFailure.Refused("no such stream", false, false, 0);
            time.schedule(0, () -> listener.onFailure(failure));
            return new Handle(null, epoch, listener);
        }
        sequence.attach(listener, fromSequence);
        time.schedule(0, () -> deliver(sequence));
        return new Handle(sequence, epoch, listener);
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
        long latestMillis = time.monotonicMillis() - options.cacheEventLagMillis();
        List<CacheEvent> found = new ArrayList<>();
        for (TimedCacheEvent each : cacheEvents) {
            if (each.event().sequence() > afterSequence && each.atMillis() <= latestMillis) {
                found.add(each.event());
            }
        }
        return answered(List.copyOf(found));
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
            waiting.remove(sequence);
            running.remove(sequence);
        }
    }

    /**
     * Returns how many requests are waiting or running.
     *
     * @return the count
     */
    public synchronized int inFlight() {
        return waiting.size() + running.size();
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
        if (waiting.size() >= options.maxWaiting()) {
            return Optional.of(new TargetFailure.Refused("too many requests wait", true, false, 1_000));
        }
        return Optional.empty();
    }

    private synchronized void enqueue(StandInSequence sequence, long startEpoch) {
        if (startEpoch != epoch || streams.get(sequence.call().attemptId()) != sequence) {
            return;
        }
        waiting.addLast(sequence);
        startStep();
    }

    private void startStep() {
        if (stepping || down) {
            return;
        }
        fillBatch();
        recordLoad();
        if (running.isEmpty()) {
            return;
        }
        stepping = true;
        int chunk = options.cost().prefillChunkTokens();
        List<StandInSequence> generating = new ArrayList<>();
        int prefilled = 0;
        for (StandInSequence sequence : running) {
            prefilled += sequence.prefill(chunk - prefilled);
            if (sequence.prefillRemaining() == 0) {
                generating.add(sequence);
            }
        }
        double millis = options.cost().stepMillis(prefilled, generating.size()) + carriedMillis;
        long wholeMillis = Math.max(1, (long) millis);
        carriedMillis = millis - wholeMillis;
        long stepEpoch = epoch;
        time.schedule(wholeMillis, () -> endStep(generating, stepEpoch));
    }

    private synchronized void endStep(List<StandInSequence> generating, long stepEpoch) {
        if (stepEpoch != epoch) {
            return;
        }
        stepping = false;
        for (StandInSequence sequence : generating) {
            sequence.generateToken();
            if (sequence.isFinished() && running.remove(sequence)) {
                forgetLater(sequence);
            }
            deliver(sequence);
        }
        startStep();
    }

    private synchronized void deliver(StandInSequence sequence) {
        sequence.deliver();
    }

    private void fillBatch() {
        while (!waiting.isEmpty() && running.size() < options.cost().maxSequences()) {
            StandInSequence next = waiting.stream()
                    .max(Comparator.comparingInt(sequence -> sequence.call().priority()))
                    .orElseThrow();
            if (!running.isEmpty() && kvTokens() + next.promptTokens() > kvTokensTotal()) {
                return;
            }
            waiting.remove(next);
            running.add(next);
            int cachedCharacters = cache.lookUpAndStore(next.call().prompt());
            if (next.call().kvReference().isEmpty()) {
                next.useCached(cachedCharacters);
            }
        }
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
        List<StandInSequence> broken = new ArrayList<>(running);
        broken.addAll(waiting);
        running.clear();
        waiting.clear();
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
        long prefillTokens = 0;
        long decodeTokens = 0;
        for (StandInSequence sequence : running) {
            prefillTokens += sequence.prefillRemaining();
            decodeTokens += sequence.decodeRemaining();
        }
        for (StandInSequence sequence : waiting) {
            prefillTokens += sequence.prefillRemaining();
            decodeTokens += sequence.decodeRemaining();
        }
        EngineCost cost = options.cost();
        double decodeSpeed = cost.maxSequences() * 1_000.0 / cost.stepMillis(0, cost.maxSequences());
        reports.add(new LoadReport(
                time.wallMillis(),
                prefillTokens,
                decodeTokens,
                running.size(),
                waiting.size(),
                kvTokens() * cost.kvBytesPerToken(),
                cost.kvTotalBytes(),
                cost.prefillTokensPerSecond(),
                decodeSpeed));
    }

    private long kvTokens() {
        return running.stream().mapToLong(StandInSequence::contextTokens).sum();
    }

    private long kvTokensTotal() {
        return options.cost().kvTotalBytes() / options.cost().kvBytesPerToken();
    }

    private void recordStored(long hash) {
        recordCacheEvent(hash, true);
    }

    private void recordEvicted(long hash) {
        recordCacheEvent(hash, false);
    }

    private void recordCacheEvent(long hash, boolean stored) {
        CacheEvent event = new CacheEvent(++cacheEventSequence, hash, stored);
        cacheEvents.addLast(new TimedCacheEvent(time.monotonicMillis(), event));
        if (cacheEvents.size() > CACHE_EVENTS_KEPT) {
            cacheEvents.removeFirst();
        }
    }

    private static int maxBlocks(EngineCost cost) {
        long tokens = cost.kvTotalBytes() / cost.kvBytesPerToken();
        return (int) Math.max(1, tokens * CHARACTERS_PER_TOKEN / PrefixCache.BLOCK_CHARACTERS);
    }

    private static <T> CompletionStage<TargetReply<T>> answered(T value) {
        return CompletableFuture.completedFuture(new TargetReply.Answer<>(value));
    }

    private static <T> CompletionStage<TargetReply<T>> failed() {
        return CompletableFuture.completedFuture(
                new TargetReply.Failure<>(new TargetFailure.NotSent("the engine is down")));
    }

    private record TimedCacheEvent(long atMillis, CacheEvent event) {}

    /** A caller's handle; one of an earlier epoch or of a refused call does nothing. */
    private final class Handle implements AnswerStream {

        private final StandInSequence sequence;
        private final long startEpoch;
        private final AnswerListener listener;

        Handle(StandInSequence sequence, long startEpoch, AnswerListener listener) {
            this.sequence = sequence;
            this.startEpoch = startEpoch;
            this.listener = listener;
        }

        @Override
        public void pauseReading() {
            setPaused(true);
        }

        @Override
        public void resumeReading() {
            setPaused(false);
        }

        @Override
        public void cancel() {
            synchronized (StandInEngine.this) {
                if (sequence != null && startEpoch == epoch) {
                    StandInEngine.this.cancel(sequence.call().attemptId());
                }
            }
        }

        @Override
        public void detach() {
            synchronized (StandInEngine.this) {
                // Another connection may have joined the stream since; it is not this one's to close.
                if (sequence != null && sequence.listener() == listener) {
                    sequence.detach();
                }
            }
        }

        private void setPaused(boolean paused) {
            synchronized (StandInEngine.this) {
                if (sequence != null) {
                    sequence.setPaused(paused);
                    deliver(sequence);
                }
            }
        }
    }
}
