package org.dogwoodwinch.daemon;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.Objects;
import java.util.function.Consumer;
import org.dogwoodwinch.routing.DelegatingRouter;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.routing.Router;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;

/**
 * Router decorator that reports each target that refuses an attempt because it is leaving the fleet, so that the
 * peers receive its name. Thread-safe.
 */
final class LeavingTargetReportingRouter extends DelegatingRouter {

    private static final long MAX_TRACKED_ATTEMPTS = 100_000;

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
        super(delegate);
        this.leavingListener = Objects.requireNonNull(leavingListener, "leavingListener");
    }

    @Override
    public void onSent(String attemptId, Target target, RouteQuery query) {
        targetByAttempt.put(attemptId, target.name());
        super.onSent(attemptId, target, query);
    }

    @Override
    public void onCompleted(String attemptId, TokenUsage usage) {
        targetByAttempt.invalidate(attemptId);
        super.onCompleted(attemptId, usage);
    }

    @Override
    public void onFailed(String attemptId, TargetFailure failure) {
        String target = targetByAttempt.getIfPresent(attemptId);
        targetByAttempt.invalidate(attemptId);
        super.onFailed(attemptId, failure);
        if (target != null && failure instanceof TargetFailure.Refused refused && refused.leaving()) {
            leavingListener.accept(target);
        }
    }

    @Override
    public void onCancelled(String attemptId) {
        targetByAttempt.invalidate(attemptId);
        super.onCancelled(attemptId);
    }
}
