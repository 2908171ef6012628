package org.dogwoodwinch.replay;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwinch.routing.FleetView;
import org.dogwoodwinch.routing.Route;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.routing.Router;
import org.dogwoodwinch.routing.TargetSummary;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;

/** The plain ways to choose a target that ours is compared with; they see what ours sees of who is leaving. */
final class BaselineRouter implements Router {

    private final FleetView fleet;
    private final ReplayPolicy.Routing kind;
    private final Map<String, Long> reportedTokens;
    private final Map<String, String> targetOfAttempt = new HashMap<>();
    private final Map<String, Integer> outstanding = new HashMap<>();
    private long turn;

    BaselineRouter(FleetView fleet, ReplayPolicy.Routing kind, Map<String, Long> reportedTokens, long firstTurn) {
        this.fleet = fleet;
        this.kind = kind;
        this.reportedTokens = reportedTokens;
        this.turn = firstTurn;
    }

    @Override
    public Route route(RouteQuery query) {
        List<Target> usable = fleet.targetSummaries(query.group()).stream()
                .filter(TargetSummary::usable)
                .map(TargetSummary::target)
                .filter(target -> !query.excludedTargets().contains(target.name()))
                .toList();
        if (usable.isEmpty()) {
            return new Route.NoTarget("no target", 1_000);
        }
        return new Route.Chosen(choose(usable), Optional.empty(), 0);
    }

    @Override
    public void onSent(String attemptId, Target target, RouteQuery _query) {
        targetOfAttempt.put(attemptId, target.name());
        outstanding.merge(target.name(), 1, Integer::sum);
    }

    @Override
    public void onFirstToken(String _attemptId, long _elapsedMillis) {}

    @Override
    public void onCompleted(String attemptId, TokenUsage _usage) {
        end(attemptId);
    }

    @Override
    public void onFailed(String attemptId, TargetFailure _failure) {
        end(attemptId);
    }

    @Override
    public void onCancelled(String attemptId) {
        end(attemptId);
    }

    private Target choose(List<Target> usable) {
        int first = (int) (turn++ % usable.size());
        if (kind == ReplayPolicy.Routing.ROUND_ROBIN) {
            return usable.get(first);
        }
        Comparator<Target> order = order();
        Target best = usable.get(first);
        for (int i = 1; i < usable.size(); i++) {
            Target next = usable.get((first + i) % usable.size());
            best = order.compare(next, best) < 0 ? next : best;
        }
        return best;
    }

    private Comparator<Target> order() {
        return switch (kind) {
            case LEAST_OUTSTANDING -> Comparator.comparingInt(target -> outstanding.getOrDefault(target.name(), 0));
            case LEAST_REPORTED -> Comparator.comparingLong(target -> reportedTokens.getOrDefault(target.name(), 0L));
            case ROUND_ROBIN, ESTIMATING -> throw new IllegalStateException(kind + " has no order");
        };
    }

    private void end(String attemptId) {
        String target = targetOfAttempt.remove(attemptId);
        if (target != null) {
            outstanding.merge(target, -1, Integer::sum);
        }
    }
}
