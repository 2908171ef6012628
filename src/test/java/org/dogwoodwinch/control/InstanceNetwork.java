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

/** What lies between one instance and the log and engines: delays, partitions, duplicates; bytes travel though the process is paused. */
final class InstanceNetwork implements LogService {

    private final VirtualTimeSource world;
    private final LogService log;
    private final InstanceClock clock;
    private final Consumer<String> onAppend;
    private boolean cut;
    private long appendDelayMillis;
    private long checkedOrderDelayMillis;
    private long otherOrderDelayMillis;
    private int duplicates;

    InstanceNetwork(VirtualTimeSource world, LogService log, InstanceClock clock, Consumer<String> onAppend) {
        this.world = world;
        this.log = log;
        this.clock = clock;
        this.onAppend = onAppend;
    }

    void setCut(boolean newCut) {
        cut = newCut;
    }

    void setAppendDelayMillis(long millis) {
        appendDelayMillis = millis;
    }

    /** Engines that check tokens and those that do not may get their orders late by different times. */
    void setOrderDelays(long checkedMillis, long otherMillis) {
        checkedOrderDelayMillis = checkedMillis;
        otherOrderDelayMillis = otherMillis;
    }

    void duplicateAppends(int count) {
        duplicates = count;
    }

    @Override
    public CompletionStage<AppendResult> append(String stream, String payload) {
        onAppend.accept(payload);
        if (duplicates > 0) {
            duplicates--;
            world.schedule(appendDelayMillis + 4_000, () -> log.append(stream, payload));
        }
        return travel(appendDelayMillis, () -> log.append(stream, payload));
    }

    @Override
    public CompletionStage<ReadResult> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
        return travel(0, () -> log.read(stream, fromOffset, maxRecords, waitMillis));
    }

    /** The request arrives after a delay, unless the instance is cut off; the answer is lost where it is cut off by then. */
    private <T> CompletionStage<T> travel(long delayMillis, Supplier<CompletionStage<T>> call) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        if (!cut) {
            world.schedule(
                    delayMillis,
                    () -> call.get().whenComplete((value, _failure) -> {
                        if (!cut) {
                            clock.deliver(() -> answer.complete(value));
                        }
                    }));
        }
        return answer;
    }

    /** The way to one engine. */
    EngineClient to(StandInEngine engine, boolean checks) {
        return new Link(engine, checks);
    }

    private final class Link implements EngineClient {

        private final StandInEngine engine;
        private final boolean checks;

        Link(StandInEngine engine, boolean checks) {
            this.engine = engine;
            this.checks = checks;
        }

        @Override
        public CompletionStage<OrderResult> order(EngineOrder order) {
            return travel(checks ? checkedOrderDelayMillis : otherOrderDelayMillis, () -> engine.order(order));
        }

        @Override
        public CompletionStage<TargetReply<EngineState>> state() {
            return travel(1, engine::state);
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
        public CompletionStage<TargetReply<LoadReport>> loadReport() {
            return engine.loadReport();
        }

        @Override
        public CompletionStage<TargetReply<List<CacheEvent>>> cacheEvents(long afterSequence) {
            return engine.cacheEvents(afterSequence);
        }

        @Override
        public CompletionStage<TargetReply<KvReference>> exportKv(String attemptId) {
            return engine.exportKv(attemptId);
        }
    }
}
