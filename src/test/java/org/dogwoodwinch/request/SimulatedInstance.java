package org.dogwoodwinch.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.admission.AdmissionDecision;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.routing.Route;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.routing.Router;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.ServiceCall;
import org.dogwoodwinch.target.ServiceClient;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetClientFactory;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TargetReply;
import org.dogwoodwinch.target.TokenUsage;

/**
 * One instance of a {@link RequestSimulation}, whose process can be paused, killed and restarted and whose links break.
 */
final class SimulatedInstance implements TargetClientFactory {

    private final RequestSimulation simulation;
    private final String name;
    private final Map<String, FaultyEngineLink> links = new LinkedHashMap<>();
    private final List<RequestSimulation.SimulatedCaller> callers = new ArrayList<>();
    private ProcessClock process;
    private FaultyLogLink logLink;
    private RequestCoordinator coordinator;
    private int serviceAnswersToLose;
    private int starts;
    private boolean up;

    SimulatedInstance(RequestSimulation simulation, String name) {
        this.simulation = simulation;
        this.name = name;
        start();
    }

    String name() {
        return name;
    }

    boolean isUp() {
        return up;
    }

    private void start() {
        up = true;
        process = new ProcessClock(simulation.time);
        logLink = new FaultyLogLink(simulation.time, process, simulation.memoryLog);
        links.clear();
        simulation.engines.forEach((target, engine) ->
                links.put(target, new FaultyEngineLink(simulation.time, process, engine, simulation.random)));
        RequestSettings settings = RequestSettings.DEFAULT;
        LogClaimStore claimStore = new LogClaimStore(
                logLink,
                process,
                name + "~" + starts++,
                settings.claimTimeoutMillis(),
                5,
                new ClaimIndex(settings.keyMemoryMillis(), 10_000),
                this::isAlive);
        claimStore.start();
        coordinator = new RequestCoordinator(
                (_request, decision) -> {
                    decision.accept(new AdmissionDecision.Granted(_used -> {}));
                    return () -> {};
                },
                new RandomRouter(),
                this,
                target -> Optional.ofNullable(simulation.targets.get(target)),
                CatalogueEntry::group,
                process,
                simulation.random,
                claimStore,
                new SuspectRegistry(process, 600_000, 3_600_000, _notice -> {}),
                RequestObserver.NONE,
                settings,
                simulation.policies);
    }

    private boolean isAlive(String writer) {
        return simulation.instances.stream()
                .anyMatch(each -> each.up && writer.equals(each.name + "~" + (each.starts - 1)));
    }

    void submit(CallerRequest request, RequestSimulation.SimulatedCaller caller) {
        callers.add(caller);
        process.deliver(() -> coordinator.submit(request, caller));
    }

    void kill() {
        if (up) {
            up = false;
            process.kill();
            links.values().forEach(FaultyEngineLink::breakConnections);
            List<RequestSimulation.SimulatedCaller> lost = List.copyOf(callers);
            callers.clear();
            lost.forEach(RequestSimulation.SimulatedCaller::onConnectionLost);
            simulation.time.schedule(2_000, this::start);
        }
    }

    void pause(long millis) {
        ProcessClock paused = process;
        paused.pause();
        simulation.time.schedule(millis, paused::resume);
    }

    void disconnectLog(long millis, boolean oneWay) {
        FaultyLogLink link = logLink;
        link.setDisconnected(true, oneWay);
        simulation.time.schedule(millis, () -> link.setDisconnected(false, false));
    }

    void disconnectEngine(String engine, long millis) {
        FaultyEngineLink link = links.get(engine);
        link.setDisconnected(true);
        simulation.time.schedule(millis, () -> link.setDisconnected(false));
    }

    void makeDeliveryUnreliable(long millis) {
        List<FaultyEngineLink> affected = List.copyOf(links.values());
        affected.forEach(link -> link.setUnreliable(true));
        simulation.time.schedule(millis, () -> affected.forEach(link -> link.setUnreliable(false)));
    }

    void breakConnections() {
        links.values().forEach(FaultyEngineLink::breakConnections);
    }

    void loseSends(int count) {
        links.values().forEach(link -> link.loseSends(count));
    }

    void loseAnswers(int count) {
        links.values().forEach(link -> link.loseAnswers(count));
        serviceAnswersToLose = count;
    }

    @Override
    public EngineClient engineClient(Target target) {
        return links.get(target.name());
    }

    @Override
    public ServiceClient serviceClient(Target target) {
        return call -> callService(target, call);
    }

    private CompletionStage<TargetReply<ServiceAnswer>> callService(Target target, ServiceCall call) {
        CompletableFuture<TargetReply<ServiceAnswer>> reply = new CompletableFuture<>();
        ProcessClock caller = process;
        boolean lost = serviceAnswersToLose > 0;
        serviceAnswersToLose = Math.max(0, serviceAnswersToLose - 1);
        TargetReply<ServiceAnswer> broken = new TargetReply.Failure<>(new TargetFailure.Broken("reset"));
        return simulation.runService(target.name(), call).thenCompose(answer -> {
            caller.deliver(() -> reply.complete(lost ? broken : answer));
            return reply;
        });
    }

    /** Chooses a random target of the group that is not excluded. */
    private final class RandomRouter implements Router {

        @Override
        public Route route(RouteQuery query) {
            List<Target> allowed = simulation.targets.values().stream()
                    .filter(target -> target.group().equals(query.group()))
                    .filter(target -> !query.excludedTargets().contains(target.name()))
                    .toList();
            return allowed.isEmpty()
                    ? new Route.NoTarget("no target is left", 500)
                    : new Route.Chosen(allowed.get(simulation.random.nextInt(allowed.size())), Optional.empty(), 0);
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
