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
import org.dogwoodwinch.target.TargetClients;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TargetReply;
import org.dogwoodwinch.target.Usage;

/** One instance of a {@link RequestWorld}: its process is paused, killed and started anew, its links break. */
final class WorldInstance implements TargetClients {

    private final RequestWorld world;
    private final String name;
    private final Map<String, FaultyLink> links = new LinkedHashMap<>();
    private final List<RequestWorld.WorldCaller> callers = new ArrayList<>();
    private ProcessClock process;
    private FaultyLogLink logLink;
    private RequestCoordinator coordinator;
    private int serviceAnswersToLose;
    private int starts;
    private boolean up;

    WorldInstance(RequestWorld world, String name) {
        this.world = world;
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
        process = new ProcessClock(world.time);
        logLink = new FaultyLogLink(world.time, process, world.memoryLog);
        links.clear();
        world.engines.forEach(
                (target, engine) -> links.put(target, new FaultyLink(world.time, process, engine, world.random)));
        RequestSettings settings = RequestSettings.DEFAULT;
        LogClaimLedger ledger = new LogClaimLedger(
                logLink,
                process,
                name + "~" + starts++,
                settings.claimMillis(),
                5,
                new ClaimFold(settings.keyMemoryMillis(), 10_000),
                this::isAlive);
        ledger.start();
        coordinator = new RequestCoordinator(
                (_request, decision) -> {
                    decision.accept(new AdmissionDecision.Granted(_used -> {}));
                    return () -> {};
                },
                new RandomRouter(),
                this,
                target -> Optional.ofNullable(world.targets.get(target)),
                CatalogueEntry::group,
                process,
                world.random,
                ledger,
                new SuspectBook(process, 600_000, 3_600_000, _notice -> {}),
                RequestObserver.NONE,
                settings,
                world.policies);
    }

    private boolean isAlive(String writer) {
        return world.instances.stream().anyMatch(each -> each.up && writer.equals(each.name + "~" + (each.starts - 1)));
    }

    void submit(CallerRequest request, RequestWorld.WorldCaller caller) {
        callers.add(caller);
        process.deliver(() -> coordinator.submit(request, caller));
    }

    void kill() {
        if (up) {
            up = false;
            process.kill();
            links.values().forEach(FaultyLink::breakAll);
            List<RequestWorld.WorldCaller> lost = List.copyOf(callers);
            callers.clear();
            lost.forEach(RequestWorld.WorldCaller::onConnectionLost);
            world.time.schedule(2_000, this::start);
        }
    }

    void pause(long millis) {
        ProcessClock paused = process;
        paused.pause();
        world.time.schedule(millis, paused::resume);
    }

    void cutLog(long millis, boolean oneWay) {
        FaultyLogLink link = logLink;
        link.setCut(true, oneWay);
        world.time.schedule(millis, () -> link.setCut(false, false));
    }

    void cutEngine(String engine, long millis) {
        FaultyLink link = links.get(engine);
        link.setCut(true);
        world.time.schedule(millis, () -> link.setCut(false));
    }

    void makeMessy(long millis) {
        List<FaultyLink> messy = List.copyOf(links.values());
        messy.forEach(link -> link.setMessy(true));
        world.time.schedule(millis, () -> messy.forEach(link -> link.setMessy(false)));
    }

    void breakConnections() {
        links.values().forEach(FaultyLink::breakAll);
    }

    void loseSends(int count) {
        links.values().forEach(link -> link.loseSends(count));
    }

    void loseAnswers(int count) {
        links.values().forEach(link -> link.loseAnswers(count));
        serviceAnswersToLose = count;
    }

    @Override
    public EngineClient engine(Target target) {
        return links.get(target.name());
    }

    @Override
    public ServiceClient service(Target target) {
        return call -> callService(target, call);
    }

    private CompletionStage<TargetReply<ServiceAnswer>> callService(Target target, ServiceCall call) {
        CompletableFuture<TargetReply<ServiceAnswer>> reply = new CompletableFuture<>();
        ProcessClock caller = process;
        boolean lost = serviceAnswersToLose > 0;
        serviceAnswersToLose = Math.max(0, serviceAnswersToLose - 1);
        TargetReply<ServiceAnswer> broken = new TargetReply.Failure<>(new TargetFailure.Broken("reset"));
        return world.runService(target.name(), call).thenCompose(answer -> {
            caller.deliver(() -> reply.complete(lost ? broken : answer));
            return reply;
        });
    }

    /** Takes any target of the group that is not excluded. */
    private final class RandomRouter implements Router {

        @Override
        public Route route(RouteQuery query) {
            List<Target> allowed = world.targets.values().stream()
                    .filter(target -> target.group().equals(query.group()))
                    .filter(target -> !query.excludedTargets().contains(target.name()))
                    .toList();
            return allowed.isEmpty()
                    ? new Route.NoTarget("no target is left", 500)
                    : new Route.Chosen(allowed.get(world.random.nextInt(allowed.size())), Optional.empty(), 0);
        }

        @Override
        public void onSent(String _attemptId, Target _target, RouteQuery _query) {}

        @Override
        public void onFirstToken(String _attemptId, long _elapsedMillis) {}

        @Override
        public void onCompleted(String _attemptId, Usage _usage) {}

        @Override
        public void onFailed(String _attemptId, TargetFailure _failure) {}

        @Override
        public void onCancelled(String _attemptId) {}
    }
}
