package org.dogwoodwinch.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dogwoodwinch.external.AppendResult;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.standin.StandInEngine;
import org.dogwoodwinch.target.AnswerListener;
import org.dogwoodwinch.target.AnswerStream;
import org.dogwoodwinch.target.CacheEvent;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.EngineOrder;
import org.dogwoodwinch.target.EngineState;
import org.dogwoodwinch.target.GenerateCall;
import org.dogwoodwinch.target.KvReference;
import org.dogwoodwinch.target.LoadReport;
import org.dogwoodwinch.target.OrderResult;
import org.dogwoodwinch.target.TargetReply;
import org.dogwoodwinch.time.VirtualTimeSource;

/**
 * The network between one instance, the log and the engines, with delays, partitions and duplicates. Messages in
 * transit arrive even while the process is paused.
 */
final class SimulatedNetwork implements LogService {

    private final VirtualTimeSource simulationTime;
    private final LogService log;
    private final SimulatedClock clock;
    private final Consumer<String> onAppend;
    private boolean partitioned;
    private long appendDelayMillis;
    private long fencedOrderDelayMillis;
    private long unfencedOrderDelayMillis;
    private int remainingDuplicates;

    SimulatedNetwork(
            VirtualTimeSource simulationTime, LogService log, SimulatedClock clock, Consumer<String> onAppend) {
        this.simulationTime = simulationTime;
        this.log = log;
        this.clock = clock;
        this.onAppend = onAppend;
    }

    void setPartitioned(boolean newPartitioned) {
        partitioned = newPartitioned;
    }

    void setAppendDelayMillis(long millis) {
        appendDelayMillis = millis;
    }

    /** Sets separate order delays for engines that check fencing tokens and for those that do not. */
    void setOrderDelays(long fencedMillis, long unfencedMillis) {
        fencedOrderDelayMillis = fencedMillis;
        unfencedOrderDelayMillis = unfencedMillis;
    }

    void duplicateAppends(int count) {
        remainingDuplicates = count;
    }

    @Override
    public CompletionStage<AppendResult> append(String stream, String payload) {
        onAppend.accept(payload);
        if (remainingDuplicates > 0) {
            remainingDuplicates--;
            simulationTime.schedule(appendDelayMillis + 4_000, () -> log.append(stream, payload));
        }
        return transmit(appendDelayMillis, () -> log.append(stream, payload));
    }

    @Override
    public CompletionStage<ReadResult> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
        return transmit(0, () -> log.read(stream, fromOffset, maxRecords, waitMillis));
    }

    /**
     * Delivers a request after a delay unless the instance is partitioned. The answer is dropped if the instance is
     * partitioned by then.
     */
    private <T> CompletionStage<T> transmit(long delayMillis, Supplier<CompletionStage<T>> call) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        if (!partitioned) {
            simulationTime.schedule(
                    delayMillis,
                    () -> call.get().whenComplete((value, _failure) -> {
                        if (!partitioned) {
                            clock.runOrDefer(() -> answer.complete(value));
                        }
                    }));
        }
        return answer;
    }

    /** Returns a client that reaches one engine over this network. */
    EngineClient engineClient(StandInEngine engine, boolean checksFencing) {
        return new EngineLink(engine, checksFencing);
    }

    private final class EngineLink implements EngineClient {

        private final StandInEngine engine;
        private final boolean checksFencing;

        EngineLink(StandInEngine engine, boolean checksFencing) {
            this.engine = engine;
            this.checksFencing = checksFencing;
        }

        @Override
        public CompletionStage<OrderResult> sendOrder(EngineOrder order) {
            return transmit(
                    checksFencing ? fencedOrderDelayMillis : unfencedOrderDelayMillis, () -> engine.sendOrder(order));
        }

        @Override
        public CompletionStage<TargetReply<EngineState>> fetchState() {
            return transmit(1, engine::fetchState);
        }

        @Override
        public AnswerStream generate(GenerateCall call, AnswerListener listener) {
            return engine.generate(call, listener);
        }

        @Override
        public AnswerStream resume(String attemptId, long fromSequence, AnswerListener listener) {
            return engine.resume(attemptId, fromSequence, listener);
        }

        @Override
        public CompletionStage<TargetReply<LoadReport>> fetchLoadReport() {
            return engine.fetchLoadReport();
        }

        @Override
        public CompletionStage<TargetReply<List<CacheEvent>>> fetchCacheEvents(long afterSequence) {
            return engine.fetchCacheEvents(afterSequence);
        }

        @Override
        public CompletionStage<TargetReply<KvReference>> exportKv(String attemptId) {
            return engine.exportKv(attemptId);
        }
    }
}
