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

/** Passes everything on, and tells the peers which target refused because it is leaving. Thread-safe. */
final class LeavingTellingRouter implements Router {

    private static final long MOST_ATTEMPTS = 100_000;

    private final Router router;
    private final Consumer<String> leaving;
    private final Cache<String, String> targets =
            Caffeine.newBuilder().maximumSize(MOST_ATTEMPTS).build();

    /**
     * Creates a router.
     *
     * @param router chooses, not null
     * @param leaving takes the name of a target that refused because it is leaving, not null
     */
    LeavingTellingRouter(Router router, Consumer<String> leaving) {
        this.router = Objects.requireNonNull(router, "router");
        this.leaving = Objects.requireNonNull(leaving, "leaving");
    }

    @Override
    public Route route(RouteQuery query) {
        return router.route(query);
    }

    @Override
    public void onSent(String attemptId, Target target, RouteQuery query) {
        targets.put(attemptId, target.name());
        router.onSent(attemptId, target, query);
    }

    @Override
    public void onFirstToken(String attemptId, long elapsedMillis) {
        router.onFirstToken(attemptId, elapsedMillis);
    }

    @Override
    public void onCompleted(String attemptId, TokenUsage usage) {
        targets.invalidate(attemptId);
        router.onCompleted(attemptId, usage);
    }

    @Override
    public void onFailed(String attemptId, TargetFailure failure) {
        String target = targets.getIfPresent(attemptId);
        targets.invalidate(attemptId);
        router.onFailed(attemptId, failure);
        if (target != null && failure instanceof TargetFailure.Refused refused && refused.leaving()) {
            leaving.accept(target);
        }
    }

    @Override
    public void onCancelled(String attemptId) {
        targets.invalidate(attemptId);
        router.onCancelled(attemptId);
    }
}
