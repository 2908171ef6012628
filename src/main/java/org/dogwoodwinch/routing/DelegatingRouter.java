package org.dogwoodwinch.routing;

import java.util.Objects;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;

/** A router that passes all calls on to another one; a subclass overrides those to which it adds something. */
public abstract class DelegatingRouter implements Router {

    private final Router delegate;

    /**
     * Creates a router.
     *
     * @param delegate receives all calls, not null
     */
    protected DelegatingRouter(Router delegate) {
        this.delegate = Objects.requireNonNull(delegate, "delegate");
    }

    @Override
    public Route route(RouteQuery query) {
        return delegate.route(query);
    }

    @Override
    public void onSent(String attemptId, Target target, RouteQuery query) {
        delegate.onSent(attemptId, target, query);
    }

    @Override
    public void onFirstToken(String attemptId, long elapsedMillis) {
        delegate.onFirstToken(attemptId, elapsedMillis);
    }

    @Override
    public void onCompleted(String attemptId, TokenUsage usage) {
        delegate.onCompleted(attemptId, usage);
    }

    @Override
    public void onFailed(String attemptId, TargetFailure failure) {
        delegate.onFailed(attemptId, failure);
    }

    @Override
    public void onCancelled(String attemptId) {
        delegate.onCancelled(attemptId);
    }
}
