package org.dogwoodwinch.replay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.admission.AdmissionController;
import org.dogwoodwinch.admission.AdmissionDecision;
import org.dogwoodwinch.admission.AdmissionPolicy;
import org.dogwoodwinch.admission.LimitShareExchange;
import org.dogwoodwinch.admission.LimitShareSettings;
import org.dogwoodwinch.admission.QueueingAdmissionController;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueView;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.routing.FleetCapacityEstimator;
import org.dogwoodwinch.routing.FleetView;
import org.dogwoodwinch.routing.LoadAwareRouter;
import org.dogwoodwinch.routing.PeerLoadExchange;
import org.dogwoodwinch.routing.Router;
import org.dogwoodwinch.target.LoadReport;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;

/** One entry instance of a replay: the real router and admission, fed with what lags. */
final class ReplayInstance {

    private static final long REPORT_POLL_MILLIS = 500;
    private static final long STATE_POLL_MILLIS = 500;
    private static final long LIST_POLL_MILLIS = 1_000;
    private static final long LIST_LAG_MILLIS = 2_000;
    private static final long PEER_MILLIS = 500;

    private final ReplayFleet engines;
    private final long reportLagMillis;
    private final TimeSource time;
    private final FleetView fleet;
    private final Router router;
    private final AdmissionController admission;
    private final Map<String, Long> reportedTokens = new HashMap<>();

    ReplayInstance(int index, TraceHeader header, ReplayPolicy policy, ReplayFleet engines, ReplayWorld world) {
        this.engines = engines;
        this.reportLagMillis = header.reportLagMillis();
        this.time = world.time();
        this.fleet = new FleetView(time);
        PeerBus board = world.board().of("instance-" + index);
        if (policy.routing() == ReplayPolicy.Routing.ESTIMATING) {
            long seed = header.seed() * 1_000 + index;
            router = new LoadAwareRouter(
                    fleet, policy.estimating(), time, RandomSource.XO_RO_SHI_RO_128_PP.create(seed), "dc-1");
            new PeerLoadExchange(fleet, board, time, index + 1L, PEER_MILLIS).start();
        } else {
            router = new BaselineRouter(fleet, policy.routing(), reportedTokens, index);
        }
        this.admission = policy.admission() ? admission(header, policy, board) : ReplayInstance::admitAtOnce;
        fleet.onInstanceList(engines.listed());
        poll();
    }

    FleetView fleet() {
        return fleet;
    }

    Router router() {
        return router;
    }

    AdmissionController admission() {
        return admission;
    }

    private AdmissionController admission(TraceHeader header, ReplayPolicy policy, PeerBus board) {
        CatalogueView noLimits = new CatalogueView() {
            @Override
            public Optional<Catalogue> current() {
                return Optional.of(Catalogue.EMPTY);
            }

            @Override
            public void addListener(Consumer<Catalogue> _listener) {}
        };
        return new QueueingAdmissionController(
                AdmissionPolicy.STANDARD,
                noLimits,
                new LimitShareExchange(LimitShareSettings.SINGLE_INSTANCE, board, time, 1),
                new FleetCapacityEstimator(fleet, policy.estimating(), time),
                header::instances,
                time);
    }

    private static Cancellable admitAtOnce(CallerRequest _request, Consumer<AdmissionDecision> decision) {
        decision.accept(new AdmissionDecision.Granted(_usedTokens -> {}));
        return () -> {};
    }

    private void poll() {
        pollReports();
        pollStates();
        pollList();
    }

    private void pollReports() {
        for (ReplayEngine engine : engines.engines().values()) {
            if (!engine.down()) {
                engine.reportAsOldAs(reportLagMillis).ifPresent(report -> take(engine, report));
            }
        }
        time.schedule(REPORT_POLL_MILLIS, this::pollReports);
    }

    private void take(ReplayEngine engine, LoadReport report) {
        fleet.onLoadReport(engine.name(), report);
        reportedTokens.put(engine.name(), report.queuedPrefillTokens() + report.queuedDecodeTokens());
    }

    private void pollStates() {
        for (ReplayEngine engine : engines.engines().values()) {
            if (!engine.down()) {
                fleet.onEngineState(engine.name(), engine.state());
            }
        }
        time.schedule(STATE_POLL_MILLIS, this::pollStates);
    }

    private void pollList() {
        List<ListedInstance> listed = engines.listed();
        time.schedule(LIST_LAG_MILLIS, () -> fleet.onInstanceList(listed));
        time.schedule(LIST_POLL_MILLIS, this::pollList);
    }
}
