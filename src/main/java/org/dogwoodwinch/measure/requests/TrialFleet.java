package org.dogwoodwinch.measure.requests;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.routing.Route;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.routing.Router;
import org.dogwoodwinch.standin.StandInEngine;
import org.dogwoodwinch.standin.StandInEngineObserver;
import org.dogwoodwinch.standin.StandInEngineOptions;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.EngineConfiguration;
import org.dogwoodwinch.target.EngineOrder;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.ServiceClient;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetClientFactory;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;
import org.dogwoodwinch.time.TimeSource;

/** Stand-in engines in virtual time, a router that draws any allowed one, and a count of crashes. */
final class TrialFleet implements TargetClientFactory, Router, StandInEngineObserver {

    static final String GROUP = "reader";
    private static final String CRASH_MARKER = "[crash]";

    private final Map<String, StandInEngine> engines = new LinkedHashMap<>();
    private final List<Target> targets = new ArrayList<>();
    private final UniformRandomProvider random;
    private int crashes;

    TrialFleet(int engineCount, TimeSource time, UniformRandomProvider random) {
        this.random = random;
        for (int i = 0; i < engineCount; i++) {
            String name = "engine-" + i;
            targets.add(new Target(name, "127.0.0.1", 1 + i, "kakkanad", GROUP));
            EngineConfiguration configuration = new EngineConfiguration(EngineRole.MIXED, GROUP, "1", new TreeSet<>());
            engines.put(name, new StandInEngine(name, name, configuration, StandInEngineOptions.STANDARD, time, this));
        }
    }

    int crashes() {
        return crashes;
    }

    Optional<Target> find(String name) {
        return targets.stream().filter(target -> target.name().equals(name)).findFirst();
    }

    @Override
    public EngineClient engineClient(Target target) {
        return engines.get(target.name());
    }

    @Override
    public ServiceClient serviceClient(Target target) {
        throw new IllegalStateException("no service here: " + target);
    }

    @Override
    public Route route(RouteQuery query) {
        List<Target> allowed = targets.stream()
                .filter(target -> !query.excludedTargets().contains(target.name()))
                .toList();
        return allowed.isEmpty()
                ? new Route.NoTarget("no target is left", 500)
                : new Route.Chosen(allowed.get(random.nextInt(allowed.size())), Optional.empty(), 0);
    }

    @Override
    public void onExecuted(String _engine, String _attemptId, String prompt) {
        if (prompt.contains(CRASH_MARKER)) {
            crashes++;
        }
    }

    @Override
    public void onApplied(String _engine, EngineOrder _order) {}

    @Override
    public void onCut(String _engine, String _attemptId) {}

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
