package org.dogwoodwinch.faultrun;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.admission.AdmissionDecision;
import org.dogwoodwinch.authority.FleetInventory;
import org.dogwoodwinch.authority.TargetActivity;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.control.ControlNode;
import org.dogwoodwinch.control.ControlPolicies;
import org.dogwoodwinch.control.ControlServices;
import org.dogwoodwinch.control.ControlSettings;
import org.dogwoodwinch.external.AppendResult;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.history.CatalogueEvent;
import org.dogwoodwinch.history.FleetEvent;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.request.ClaimIndex;
import org.dogwoodwinch.request.LogClaimStore;
import org.dogwoodwinch.request.Quarantine;
import org.dogwoodwinch.request.RequestCoordinator;
import org.dogwoodwinch.request.RequestObserver;
import org.dogwoodwinch.request.RequestPolicies;
import org.dogwoodwinch.request.RequestSettings;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.ServiceClient;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetClientFactory;

/** One life of one instance on virtual time: once it is dead, nothing that it still does reaches anything. */
final class VirtualInstance implements TargetClientFactory, LogService {

    private static final long RETENTION_MILLIS = 3_600_000;
    private static final int MOST_KEYS = 10_000;

    final Map<String, VirtualCall> openCalls = new LinkedHashMap<>();
    private final VirtualRun run;
    private final String name;
    private final int life;
    private final ControlNode control;
    private final LogClaimStore claims;
    private final RequestCoordinator coordinator;
    private boolean alive = true;
    private boolean ready;
    private boolean stopping;

    VirtualInstance(VirtualRun run, String name, int number, int life) {
        this.run = run;
        this.name = name;
        this.life = life;
        control = new ControlNode(
                ControlSettings.of(name, RETENTION_MILLIS),
                new ControlServices(
                        this,
                        () -> CompletableFuture.completedFuture(600),
                        new NoBoard(),
                        () -> false,
                        this,
                        new Fleet(number),
                        target -> {
                            int inFlight = run.engine(target).inFlight();
                            return new TargetActivity.RequestsInFlight(true, inFlight, inFlight);
                        }),
                ControlPolicies.STANDARD,
                run.time,
                RandomSource.XO_RO_SHI_RO_128_PP.create(number + 100L * life));
        control.catalogue().addListener(this::inForce);
        RequestSettings settings = RequestSettings.DEFAULT;
        claims = new LogClaimStore(
                this,
                run.time,
                writer(),
                settings.claimTimeoutMillis(),
                5,
                new ClaimIndex(settings.keyMemoryMillis(), MOST_KEYS),
                run::isAlive);
        coordinator = new RequestCoordinator(
                (_request, decision) -> {
                    decision.accept(new AdmissionDecision.Granted(_used -> {}));
                    return () -> {};
                },
                new VirtualRouter(run, control::outOfServiceTargets),
                this,
                target -> Optional.of(run.target(target)),
                entry -> RunOperator.model(entry.group()),
                run.time,
                RandomSource.XO_RO_SHI_RO_128_PP.create(number + 1_000L * life),
                claims,
                Quarantine.NONE,
                RequestObserver.NONE,
                settings,
                RequestPolicies.STANDARD);
        control.start();
        claims.start();
    }

    String name() {
        return name;
    }

    String writer() {
        return name + "~" + life;
    }

    boolean isAlive() {
        return alive;
    }

    boolean takesCalls() {
        return alive && ready && !stopping;
    }

    Optional<Catalogue> catalogue() {
        return control.catalogue().current();
    }

    void submit(CallerRequest request, VirtualCall call) {
        openCalls.put(call.id(), call);
        coordinator.submit(request, call);
    }

    /** The process is gone at once: its callers' connections break. */
    void kill() {
        die();
        List<VirtualCall> lost = new ArrayList<>(openCalls.values());
        openCalls.clear();
        lost.forEach(VirtualCall::lose);
    }

    /** It takes nothing new and ends when what it has is done. */
    void stop() {
        stopping = true;
        control.releaseLeases();
        awaitCalls();
    }

    private void awaitCalls() {
        if (!alive) {
            return;
        }
        if (openCalls.isEmpty()) {
            die();
        } else {
            run.time.schedule(20, this::awaitCalls);
        }
    }

    private void die() {
        alive = false;
        control.stop();
        claims.stop();
        run.history.record(new FleetEvent.InstanceEnded(run.time.wallMillis(), name));
    }

    private void inForce(Catalogue catalogue) {
        if (!alive) {
            return;
        }
        long nowMillis = run.time.wallMillis();
        run.history.record(new CatalogueEvent.InForce(
                nowMillis, name, catalogue.revision(), Integer.toString(catalogue.hashCode())));
        if (!ready) {
            ready = true;
            run.history.record(new FleetEvent.InstanceStarted(nowMillis, name));
        }
    }

    @Override
    public EngineClient engineClient(Target target) {
        return new VirtualLink(run.engine(target.name()), this::isAlive);
    }

    @Override
    public ServiceClient serviceClient(Target target) {
        throw new IllegalStateException("this run has no plain services: " + target.name());
    }

    @Override
    public CompletionStage<AppendResult> append(String stream, String payload) {
        return alive ? gate(run.log.append(stream, payload)) : new CompletableFuture<>();
    }

    @Override
    public CompletionStage<ReadResult> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
        return alive ? gate(run.log.read(stream, fromOffset, maxRecords, waitMillis)) : new CompletableFuture<>();
    }

    private <T> CompletionStage<T> gate(CompletionStage<T> answer) {
        CompletableFuture<T> gated = new CompletableFuture<>();
        answer.thenAccept(value -> {
            if (alive) {
                gated.complete(value);
            }
        });
        return gated;
    }

    /** The engines, and this instance's place in the order of claims. */
    private final class Fleet implements FleetInventory {

        private final int number;

        Fleet(int number) {
            this.number = number;
        }

        @Override
        public List<Target> engines() {
            return run.targets();
        }

        @Override
        public int claimRank(String _group) {
            return number;
        }
    }

    private static final class NoBoard implements PeerBus {

        @Override
        public void publish(PeerTopic _topic, String _key, Bytes _payload, long _keepMillis) {}

        @Override
        public void subscribe(PeerTopic _topic, Consumer<PeerUpdate> _listener) {}
    }
}
