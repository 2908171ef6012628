package org.dogwoodwinch.daemon;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.Objects;
import java.util.function.Consumer;
import org.dogwoodwinch.routing.Route;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.routing.Router;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;

/**
 * Router decorator that reports each target that refuses an attempt because it is leaving the fleet, so that the
 * peers receive its name. Thread-safe.
 */
final class LeavingTargetReportingRouter implements Router {

    private static final long MAX_TRACKED_ATTEMPTS = 100_000;

    private final Router delegate;
    private final Consumer<String> leavingListener;
    private final Cache<String, String> targetByAttempt =
            Caffeine.newBuilder().maximumSize(MAX_TRACKED_ATTEMPTS).build();

    /**
     * Creates a router that forwards all calls to another router.
     *
     * @param delegate chooses the targets, not null
     * @param leavingListener receives the name of a target that refused because it is leaving the fleet, not null
     */
    LeavingTargetReportingRouter(Router delegate, Consumer<String> leavingListener) {
        this.delegate = Objects.requireNonNull(delegate, "delegate");
        this.leavingListener = Objects.requireNonNull(leavingListener, "leavingListener");
    }

    @Override
    public Route route(RouteQuery query) {
        return delegate.route(query);
    }

    @Override
    public void onSent(String attemptId, Target target, RouteQuery query) {
        targetByAttempt.put(attemptId, target.name());
        delegate.onSent(attemptId, target, query);
    }

    @Override
    public void onFirstToken(String attemptId, long elapsedMillis) {
        delegate.onFirstToken(attemptId, elapsedMillis);
    }

    @Override
    public void onCompleted(String attemptId, TokenUsage usage) {
        targetByAttempt.invalidate(attemptId);
        delegate.onCompleted(attemptId, usage);
    }

    @Override
    public void onFailed(String attemptId, TargetFailure failure) {
        String target = targetByAttempt.getIfPresent(attemptId);
        targetByAttempt.invalidate(attemptId);
        delegate.onFailed(attemptId, failure);
        if (target != null && failure instanceof TargetFailure.Refused refused && refused.leaving()) {
            leavingListener.accept(target);
        }
    }

    @Override
    public void onCancelled(String attemptId) {
        targetByAttempt.invalidate(attemptId);
        delegate.onCancelled(attemptId);
    }
}
