package org.dogwoodwinch.faultrun;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.dogwoodwinch.routing.Route;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.routing.Router;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;

/** Takes any engine that is in service and not excluded. */
final class VirtualRouter implements Router {

    private final VirtualRun run;
    private final Supplier<Set<String>> outOfService;

    VirtualRouter(VirtualRun run, Supplier<Set<String>> outOfService) {
        this.run = run;
        this.outOfService = outOfService;
    }

    @Override
    public Route route(RouteQuery query) {
        List<Target> allowed = run.targets().stream()
                .filter(target -> target.group().equals(query.group()))
                .filter(target -> !query.excludedTargets().contains(target.name()))
                .filter(target -> !outOfService.get().contains(target.name()))
                .toList();
        return allowed.isEmpty()
                ? new Route.NoTarget("no target is left", 500)
                : new Route.Chosen(allowed.get(run.random.nextInt(allowed.size())), Optional.empty(), 0);
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
