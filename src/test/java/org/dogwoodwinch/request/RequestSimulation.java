package org.dogwoodwinch.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.catalogue.Limits;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.fault.Fault;
import org.dogwoodwinch.fault.FaultKind;
import org.dogwoodwinch.history.AttemptEvent;
import org.dogwoodwinch.history.FleetEvent;
import org.dogwoodwinch.history.History;
import org.dogwoodwinch.history.MemoryRecorder;
import org.dogwoodwinch.history.RequestEvent;
import org.dogwoodwinch.standin.HistoryEngineObserver;
import org.dogwoodwinch.standin.MemoryLog;
import org.dogwoodwinch.standin.MemoryLogLimits;
import org.dogwoodwinch.standin.StandInEngine;
import org.dogwoodwinch.standin.StandInEngineOptions;
import org.dogwoodwinch.standin.StandInText;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.EngineConfiguration;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.ServiceCall;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetReply;
import org.dogwoodwinch.target.TokenUsage;
import org.dogwoodwinch.time.VirtualTimeSource;

/** Simulates, in virtual time, three instances, three engines, two plain services and callers that resend requests. */
final class RequestSimulation {

    static final int INSTANCES = 3;
    static final int ENGINES = 3;
    static final String ENGINE_GROUP = "reader";
    static final String SERVICE_GROUP = "script-check";
    static final int MAX_TOKENS = 64;

    private static final long DEADLINE_MILLIS = 20_000;
    private static final int MAX_SENDS = 4;

    final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    final MemoryLog memoryLog = new MemoryLog(time, MemoryLogLimits.STANDARD);
    final Map<String, StandInEngine> engines = new LinkedHashMap<>();
    final List<SimulatedInstance> instances = new ArrayList<>();
    final Map<String, Target> targets = new LinkedHashMap<>();
    final UniformRandomProvider random;
    final RequestPolicies policies;
    private final MemoryRecorder recorder = new MemoryRecorder();
    private int nextCall;

    RequestSimulation(long seed, RequestPolicies policies) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.policies = policies;
        HistoryEngineObserver observer = new HistoryEngineObserver(time, recorder);
        for (int i = 0; i < ENGINES; i++) {
            String name = "engine-" + i;
            targets.put(name, new Target(name, "127.0.0.1", 9_000 + i, "kakkanad", ENGINE_GROUP));
            EngineConfiguration configuration =
                    new EngineConfiguration(EngineRole.MIXED, ENGINE_GROUP, "1", new TreeSet<>());
            engines.put(
                    name, new StandInEngine(name, name, configuration, StandInEngineOptions.STANDARD, time, observer));
        }
        for (int i = 0; i < 2; i++) {
            String name = "service-" + i;
            targets.put(name, new Target(name, "127.0.0.1", 9_100 + i, "kakkanad", SERVICE_GROUP));
        }
        for (int i = 0; i < INSTANCES; i++) {
            instances.add(new SimulatedInstance(this, "entry-" + i));
        }
        advanceMillis(500);
    }

    void advanceMillis(long millis) {
        time.advanceMillis(millis);
    }

    History history() {
        return recorder.history();
    }

    void recordFault(FaultKind kind, String subject, long durationMillis) {
        Fault fault = new Fault(kind, subject, time.monotonicMillis(), durationMillis);
        recorder.record(new FleetEvent.FaultBegan(time.wallMillis(), fault));
        time.schedule(durationMillis, () -> recorder.record(new FleetEvent.FaultEnded(time.wallMillis(), fault)));
    }

    CompletableFuture<TargetReply<ServiceAnswer>> runService(String target, ServiceCall call) {
        String body = call.body().toUtf8();
        recorder.record(new AttemptEvent.Executed(
                time.wallMillis(), target, call.attemptId(), HistoryEngineObserver.requestId(body)));
        CompletableFuture<TargetReply<ServiceAnswer>> reply = new CompletableFuture<>();
        ServiceAnswer answer = new ServiceAnswer(200, "text/plain", Bytes.ofUtf8("checked " + body));
        time.schedule(30, () -> reply.complete(new TargetReply.Answer<>(answer)));
        return reply;
    }

    /** Sends a request to a random instance, and resends it to random instances if it has an idempotency key. */
    void submitRequest(String requestId, boolean service, boolean repeatable, boolean keyed) {
        String text = "work [request=" + requestId + "] [tokens=" + (5 + random.nextInt(40)) + "]";
        send(requestId, text, service, repeatable, keyed, 1);
    }

    private void send(
            String requestId, String text, boolean service, boolean repeatable, boolean keyed, int sendCount) {
        SimulatedInstance instance = instances.get(random.nextInt(INSTANCES));
        if (!instance.isUp()) {
            return;
        }
        Operation work = service
                ? new Operation.Service("POST", "/check", "text/plain", Bytes.ofUtf8(text))
                : new Operation.Generate(text, 10, MAX_TOKENS);
        CatalogueEntry entry = new CatalogueEntry(
                "entry",
                "malabar",
                WorkClass.STANDARD,
                service ? SERVICE_GROUP : ENGINE_GROUP,
                repeatable,
                DEADLINE_MILLIS,
                Limits.NONE);
        String callId = "call-" + nextCall++;
        String expected = service ? "checked " + text : StandInText.answer(text, MAX_TOKENS);
        recorder.record(new RequestEvent.Invoked(
                time.wallMillis(), callId, requestId, instance.name(), WorkClass.STANDARD, repeatable, expected));
        long nowMillis = time.monotonicMillis();
        CallerRequest request = new CallerRequest(
                callId,
                entry,
                work,
                keyed ? Optional.of(requestId) : Optional.empty(),
                text.hashCode(),
                nowMillis,
                nowMillis + DEADLINE_MILLIS);
        SimulatedCaller caller = new SimulatedCaller(callId, resend -> {
            if (resend && keyed && sendCount < MAX_SENDS) {
                time.schedule(
                        100 + random.nextInt(2_000),
                        () -> send(requestId, text, service, repeatable, true, sendCount + 1));
            }
        });
        instance.submit(request, caller);
    }

    /** Receives the answer to one call and records how the call ended for the caller. */
    final class SimulatedCaller implements AnswerSink {

        private final String callId;
        private final Consumer<Boolean> onEnd;
        private final StringBuilder text = new StringBuilder();
        private boolean ended;

        SimulatedCaller(String callId, Consumer<Boolean> onEnd) {
            this.callId = callId;
            this.onEnd = onEnd;
        }

        void onConnectionLost() {
            end(new RequestEvent.Lost(time.wallMillis(), callId, true, "the connection broke"), true);
        }

        @Override
        public void onChunk(AnswerChunk chunk) {
            text.append(chunk.text());
        }

        @Override
        public void onComplete(TokenUsage _usage, String _finishReason) {
            // Callers occasionally resend a request although they received its answer.
            end(new RequestEvent.Answered(time.wallMillis(), callId, text.toString()), random.nextInt(4) == 0);
        }

        @Override
        public void onServiceAnswer(ServiceAnswer answer) {
            end(
                    new RequestEvent.Answered(
                            time.wallMillis(), callId, answer.body().toUtf8()),
                    random.nextInt(4) == 0);
        }

        @Override
        public void onRefused(Refusal refusal) {
            end(new RequestEvent.Refused(time.wallMillis(), callId, refusal.reason(), refusal.runState()), true);
        }

        private void end(RequestEvent event, boolean resend) {
            if (!ended) {
                ended = true;
                recorder.record(event);
                onEnd.accept(resend);
            }
        }
    }
}
