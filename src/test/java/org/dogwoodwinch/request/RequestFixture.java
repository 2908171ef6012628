package org.dogwoodwinch.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.admission.AdmissionDecision;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.catalogue.Limits;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.routing.Route;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.routing.Router;
import org.dogwoodwinch.standin.StandInEngine;
import org.dogwoodwinch.standin.StandInEngineObserver;
import org.dogwoodwinch.standin.StandInEngineOptions;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.EngineConfiguration;
import org.dogwoodwinch.target.EngineOrder;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.ServiceClient;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetClientFactory;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;
import org.dogwoodwinch.time.VirtualTimeSource;

/** Stand-in engines behind one coordinator in virtual time, and a plain service whose answers are set by the test. */
final class RequestFixture {

    static final String GROUP = "reader";

    final VirtualTimeSource time = new VirtualTimeSource(0);
    final Map<String, StandInEngine> engines = new LinkedHashMap<>();
    final Map<String, Target> targets = new LinkedHashMap<>();
    final List<String> executedPrompts = new ArrayList<>();
    final List<RetryReason> retries = new ArrayList<>();
    int lateAnswers;
    ServiceClient service = _call -> {
        throw new IllegalStateException("the test set no service");
    };
    RequestSettings settings = RequestSettings.DEFAULT;
    RequestPolicies policies = RequestPolicies.STANDARD;
    ClaimStore claims = new UnavailableClaimStore();
    Quarantine quarantine = Quarantine.NONE;

    RequestFixture(int engineCount) {
        for (int i = 0; i < engineCount; i++) {
            String name = "engine-" + i;
            targets.put(name, new Target(name, "127.0.0.1", 9_000 + i, "kakkanad", GROUP));
            engines.put(name, newEngine(name));
        }
    }

    private StandInEngine newEngine(String name) {
        EngineConfiguration configuration = new EngineConfiguration(EngineRole.MIXED, GROUP, "1", new TreeSet<>());
        return new StandInEngine(
                name, name, configuration, StandInEngineOptions.STANDARD, time, new StandInEngineObserver() {
                    @Override
                    public void onExecuted(String _engine, String _attemptId, String prompt) {
                        executedPrompts.add(prompt);
                    }

                    @Override
                    public void onApplied(String _engine, EngineOrder _order) {}

                    @Override
                    public void onCut(String _engine, String _attemptId) {}
                });
    }

    RequestCoordinator coordinator(long seed) {
        return new RequestCoordinator(
                (_request, decision) -> {
                    decision.accept(new AdmissionDecision.Granted(_used -> {}));
                    return () -> {};
                },
                new FirstAllowedRouter(),
                new TargetClientFactory() {
                    @Override
                    public EngineClient engineClient(Target target) {
                        return engines.get(target.name());
                    }

                    @Override
                    public ServiceClient serviceClient(Target _target) {
                        return service;
                    }
                },
                name -> Optional.ofNullable(targets.get(name)),
                CatalogueEntry::group,
                time,
                RandomSource.XO_RO_SHI_RO_128_PP.create(seed),
                claims,
                quarantine,
                new RequestObserver() {
                    @Override
                    public void onRetry(CallerRequest _request, RetryReason reason) {
                        retries.add(reason);
                    }

                    @Override
                    public void onLateAnswerDropped(CallerRequest _request) {
                        lateAnswers++;
                    }
                },
                settings,
                policies);
    }

    CallerRequest generateRequest(String prompt, boolean repeatable, String key) {
        Operation work = new Operation.Generate(prompt, prompt.length() / 4 + 1, 64);
        return request(work, prompt.hashCode(), repeatable, key);
    }

    CallerRequest serviceRequest(String body, boolean repeatable, String key) {
        Operation work = new Operation.Service("POST", "/check", "text/plain", Bytes.ofUtf8(body));
        return request(work, body.hashCode(), repeatable, key);
    }

    private CallerRequest request(Operation work, long fingerprint, boolean repeatable, String key) {
        CatalogueEntry entry =
                new CatalogueEntry("entry", "malabar", WorkClass.STANDARD, GROUP, repeatable, 60_000, Limits.NONE);
        Optional<String> idempotencyKey = key.isEmpty() ? Optional.empty() : Optional.of(key);
        long nowMillis = time.monotonicMillis();
        return new CallerRequest("request", entry, work, idempotencyKey, fingerprint, nowMillis, nowMillis + 60_000);
    }

    /** Records what one caller received and checks that the chunks arrive in sequence. */
    static final class RecordingCaller implements AnswerSink {

        final StringBuilder text = new StringBuilder();
        long nextSequence;
        boolean complete;
        Optional<ServiceAnswer> serviceAnswer = Optional.empty();
        Optional<Refusal> refusal = Optional.empty();

        @Override
        public void onChunk(AnswerChunk chunk) {
            if (chunk.sequence() != nextSequence) {
                throw new IllegalStateException("received token " + chunk.sequence() + ", expected " + nextSequence);
            }
            nextSequence += chunk.tokens();
            text.append(chunk.text());
        }

        @Override
        public void onComplete(TokenUsage _usage, String _finishReason) {
            complete = true;
        }

        @Override
        public void onServiceAnswer(ServiceAnswer answer) {
            serviceAnswer = Optional.of(answer);
        }

        @Override
        public void onRefused(Refusal refused) {
            refusal = Optional.of(refused);
        }
    }

    /** Chooses the first target that is not excluded. */
    private final class FirstAllowedRouter implements Router {

        @Override
        public Route route(RouteQuery query) {
            return targets.values().stream()
                    .filter(target -> !query.excludedTargets().contains(target.name()))
                    .findFirst()
                    .<Route>map(target -> new Route.Chosen(target, Optional.empty(), 0))
                    .orElseGet(() -> new Route.NoTarget("no target is left", 500));
        }

        @Override
        public void onSent(String _attemptId, Target _target, RouteQuery _query) {}

        @Override
        public void onFirstToken(String _attemptId, long _elapsedMillis) {}

        @Override
        public void onCompleted(String _attemptId, TokenUsage _usage) {}

        @Override
        public void onFailed(String _attemptId, TargetFailure _failure) {}

        @Override
        public void onCancelled(String _attemptId) {}
    }
}
