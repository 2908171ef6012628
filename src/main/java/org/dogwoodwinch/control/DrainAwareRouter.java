package org.dogwoodwinch.control;

import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.routing.DelegatingRouter;
import org.dogwoodwinch.routing.Route;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.routing.Router;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;

/**
 * A router that sends no new requests to targets that are out of service, and counts the requests of this instance in
 * flight on each target. Thread-safe.
 */
public final class DrainAwareRouter extends DelegatingRouter {

    private final Supplier<Set<String>> outOfService;
    private final Map<String, SentAttempt> sentAttempts = new ConcurrentHashMap<>();

    /**
     * Creates a router that delegates to another.
     *
     * @param delegate chooses among the targets in service, not null
     * @param outOfService the targets that must not receive new requests, not null
     */
    public DrainAwareRouter(Router delegate, Supplier<Set<String>> outOfService) {
        super(delegate);
        this.outOfService = Objects.requireNonNull(outOfService, "outOfService");
    }

    /**
     * Counts the requests of this instance in flight on a target.
     *
     * @param target the name of the target, not null
     * @return the counts, as a line of a drain report
     */
    public DrainReport.TargetInFlight inFlight(String target) {
        int urgent = 0;
        int all = 0;
        for (SentAttempt attempt : sentAttempts.values()) {
            if (attempt.target().equals(target)) {
                all++;
                urgent += attempt.urgent() ? 1 : 0;
            }
        }
        return new DrainReport.TargetInFlight(target, urgent, all);
    }

    @Override
    public Route route(RouteQuery query) {
        Set<String> excluded = new HashSet<>(query.excludedTargets());
        excluded.addAll(outOfService.get());
        return super.route(new RouteQuery(
                query.group(),
                query.workClass(),
                query.prompt(),
                query.promptTokens(),
                query.maxTokens(),
                query.remainingMillis(),
                excluded,
                query.crashSuspect()));
    }

    @Override
    public void onSent(String attemptId, Target target, RouteQuery query) {
        sentAttempts.put(attemptId, new SentAttempt(target.name(), query.workClass() == WorkClass.URGENT));
        super.onSent(attemptId, target, query);
    }

    @Override
    public void onCompleted(String attemptId, TokenUsage usage) {
        sentAttempts.remove(attemptId);
        super.onCompleted(attemptId, usage);
    }

    @Override
    public void onFailed(String attemptId, TargetFailure failure) {
        sentAttempts.remove(attemptId);
        super.onFailed(attemptId, failure);
    }

    @Override
    public void onCancelled(String attemptId) {
        sentAttempts.remove(attemptId);
        super.onCancelled(attemptId);
    }

    private record SentAttempt(String target, boolean urgent) {}
}
