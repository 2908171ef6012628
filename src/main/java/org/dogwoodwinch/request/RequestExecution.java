package org.dogwoodwinch.request;

import java.util.Optional;
import org.dogwoodwinch.admission.AdmissionDecision;
import org.dogwoodwinch.admission.Permit;
import org.dogwoodwinch.routing.Route;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;
import org.dogwoodwinch.time.Cancellable;

/**
 * Executes one request: admission, routing, claim of its idempotency key if it needs one, attempts, and one final
 * answer.
 *
 * <p>All steps run on one {@link SerialExecutor}. The run state of a refusal is determined by {@link AttemptTracker}
 * alone.
 */
final class RequestExecution implements RequestHandle {

    private static final Cancellable NO_TIMER = () -> {};

    private final RequestContext context;
    private final CallerRequest request;
    private final AnswerDelivery delivery;
    private final Runnable onEnd;
    private final SerialExecutor executor = new SerialExecutor(this::onFault);
    private final AttemptTracker attempts = new AttemptTracker();

    private Cancellable admissionWait = NO_TIMER;
    private Cancellable deadlineTimer = NO_TIMER;
    private Cancellable backoffTimer = NO_TIMER;
    private Optional<Permit> permit = Optional.empty();
    private Optional<RequestAttempt> currentAttempt = Optional.empty();
    private Optional<ClaimJoin> join = Optional.empty();
    private String claimId = "";
    private long usedTokens = -1;
    private boolean readingEnabled = true;
    private boolean finished;

    RequestExecution(RequestContext context, CallerRequest request, AnswerSink sink, Runnable onEnd) {
        this.context = context;
        this.request = request;
        this.delivery = new AnswerDelivery(context, request, sink);
        this.onEnd = onEnd;
    }

    void start() {
        executor.execute(this::admit);
    }

    @Override
    public void pauseReading() {
        executor.execute(() -> setReadingEnabled(false));
    }

    @Override
    public void resumeReading() {
        executor.execute(() -> setReadingEnabled(true));
    }

    @Override
    public void cancel() {
        executor.execute(() -> {
            if (!finished) {
                context.observer().onCancelled(request);
                stopAttempts();
                finish();
            }
        });
    }

    private void setReadingEnabled(boolean enabled) {
        readingEnabled = enabled;
        currentAttempt.ifPresent(attempt -> attempt.setReadingEnabled(enabled));
        join.ifPresent(each -> each.setReadingEnabled(enabled));
    }

    /** Refuses this request after an unexpected exception; other requests are not affected. */
    private void onFault(RuntimeException fault) {
        context.observer().onInternalError(request, fault);
        if (!finished) {
            stopAttempts();
            fail(RefusalReason.INTERNAL, "an internal error occurred", 0);
        }
    }

    private void admit() {
        if (context.quarantine().statusOf(request.fingerprint()) == Quarantine.Status.QUARANTINED) {
            refuseQuarantined();
            return;
        }
        long remainingMillis = request.remainingMillis(context.nowMillis());
        deadlineTimer = context.time().schedule(remainingMillis, () -> executor.execute(this::onDeadline));
        admissionWait = context.admission().admit(request, decision -> executor.execute(() -> onAdmission(decision)));
    }

    private void onAdmission(AdmissionDecision decision) {
        decision.match(
                granted -> {
                    onGranted(granted);
                    return null;
                },
                denied -> {
                    refuse(denied);
                    return null;
                });
    }

    private void onGranted(Permit granted) {
        if (finished) {
            // The request ended before the grant arrived, so the permit must be released here or it would be lost.
            granted.release(0);
            return;
        }
        permit = Optional.of(granted);
        context.budget().onFirstAttempt(request.entry().owner());
        routeNext();
    }

    private void routeNext() {
        if (finished) {
            return;
        }
        if (context.quarantine().statusOf(request.fingerprint()) == Quarantine.Status.QUARANTINED) {
            refuseQuarantined();
            return;
        }
        RouteQuery lastQuery = null;
        Route route = null;
        for (RouteQuery query :
                RouteQueries.forRequest(request, context.quarantine(), attempts.failedTargets(), context.nowMillis())) {
            if (!(route instanceof Route.Chosen)) {
                lastQuery = query;
                route = context.router().route(query);
            }
        }
        RouteQuery finalQuery = lastQuery;
        route.match(
                chosen -> {
                    onRoute(chosen, finalQuery);
                    return null;
                },
                noRoute -> {
                    onNoRoute(noRoute);
                    return null;
                });
    }

    private void onNoRoute(Route.NoTarget noRoute) {
        RefusalReason reason = attempts.sentCount() == 0 ? RefusalReason.NO_TARGET : RefusalReason.TARGET_FAILED;
        fail(reason, noRoute.detail(), noRoute.retryAfterMillis());
    }

    private void onRoute(Route.Chosen chosen, RouteQuery query) {
        String attemptId = context.attemptIds().get();
        StreamPointer pointer = new StreamPointer(chosen.target().name(), attemptId);
        if (!claimId.isEmpty()) {
            context.claimStore().recordMove(claimId, pointer);
        }
        if (!needsClaim() || !claimId.isEmpty()) {
            send(chosen, query, attemptId);
            return;
        }
        ClaimRequest claim = ClaimRequest.of(request, pointer);
        context.claimStore().claim(claim, outcome -> executor.execute(() -> onClaim(outcome, claim, chosen, query)));
        if (!context.policies().awaitsClaim()) {
            send(chosen, query, attemptId);
        }
    }

    private boolean needsClaim() {
        return !request.entry().repeatable() && request.idempotencyKey().isPresent();
    }

    private void onClaim(ClaimOutcome outcome, ClaimRequest claim, Route.Chosen chosen, RouteQuery query) {
        if (!context.policies().awaitsClaim()) {
            return;
        }
        if (finished) {
            // The request ended while the claim was pending; nothing was sent, so a resend may run.
            if (outcome instanceof ClaimOutcome.Acquired acquired) {
                context.claimStore().release(acquired.claimId());
            }
            return;
        }
        outcome.match(
                acquired -> {
                    claimId = acquired.claimId();
                    send(chosen, query, claim.pointer().attemptId());
                    return null;
                },
                alreadyClaimed -> {
                    startJoin(claim, alreadyClaimed.claim());
                    return null;
                },
                _keyReused -> {
                    refuse(Refusal.notRun(
                            RefusalReason.KEY_REUSED,
                            "the idempotency key was already used for a different request",
                            0));
                    return null;
                },
                unavailable -> {
                    refuse(Refusal.notRun(
                            RefusalReason.LOG_UNAVAILABLE, unavailable.detail(), unavailable.retryAfterMillis()));
                    return null;
                });
    }

    private void startJoin(ClaimRequest claim, HeldClaim held) {
        context.observer().onResendJoined(request);
        ClaimJoin newJoin = new ClaimJoin(context, executor, request, delivery, claim, new ClaimJoin.Listener() {
            @Override
            public void onAnswered(TokenUsage usage) {
                usedTokens = 0;
                context.observer().onCompleted(request, usage);
                finish();
            }

            @Override
            public void onKeyReleased() {
                join = Optional.empty();
                routeNext();
            }

            @Override
            public void onAnswerUnavailable() {
                refuse(Refusal.mayHaveRun(
                        RefusalReason.MAY_HAVE_RUN,
                        "an earlier request with this key may have run, and its answer cannot be retrieved"));
            }
        });
        join = Optional.of(newJoin);
        newJoin.setReadingEnabled(readingEnabled);
        newJoin.start(held);
    }

    private void send(Route.Chosen chosen, RouteQuery query, String attemptId) {
        if (query.crashSuspect()) {
            context.quarantine()
                    .onTrialStarted(
                            request.fingerprint(), attemptId, chosen.target().name());
        }
        RequestAttempt attempt = new RequestAttempt(
                context, executor, request, delivery, attempts, chosen, query, attemptId, attemptListener());
        currentAttempt = Optional.of(attempt);
        attempt.setReadingEnabled(readingEnabled);
        attempt.start();
    }

    private RequestAttempt.Listener attemptListener() {
        return new RequestAttempt.Listener() {
            @Override
            public void onCompleted(StoredAnswer stored, TokenUsage usage) {
                RequestExecution.this.onCompleted(stored, usage);
            }

            @Override
            public void onFailed(Target target, TargetFailure failure) {
                RequestExecution.this.onFailed(target, failure);
            }

            @Override
            public void onDiverged() {
                fail(
                        RefusalReason.ANSWER_CUT,
                        "a rerun on another target produced text that differs from the text already delivered",
                        0);
            }
        };
    }

    private void onCompleted(StoredAnswer stored, TokenUsage usage) {
        if (!claimId.isEmpty()) {
            context.claimStore().recordAnswer(claimId, stored);
        }
        if (finished) {
            return;
        }
        usedTokens = usage.promptTokens() + usage.completionTokens();
        context.observer().onCompleted(request, usage);
        finish();
    }

    private void onFailed(Target target, TargetFailure failure) {
        attempts.onTargetFailed(target.name());
        if (finished) {
            releaseOrAbandonClaim();
            return;
        }
        currentAttempt = Optional.empty();
        context.policies()
                .retry()
                .decide(request.entry().repeatable(), failure)
                .match(
                        retry -> {
                            scheduleRetry(retry.reason(), failure);
                            return null;
                        },
                        refusal -> {
                            fail(refusal.reason(), failure.detail(), refusal.retryAfterMillis());
                            return null;
                        });
    }

    private void scheduleRetry(RetryReason reason, TargetFailure failure) {
        if (attempts.sentCount() >= context.settings().maxAttempts()) {
            fail(
                    RefusalReason.TARGET_FAILED,
                    failure.detail(),
                    context.settings().backoffMaxMillis());
            return;
        }
        if (!context.budget().tryRetry(request.entry().owner())) {
            fail(
                    RefusalReason.RETRY_BUDGET,
                    failure.detail(),
                    context.settings().backoffMaxMillis());
            return;
        }
        long delayMillis = context.backoff().delayMillis(attempts.sentCount());
        if (delayMillis >= request.remainingMillis(context.nowMillis())) {
            fail(RefusalReason.DEADLINE_UNMEETABLE, failure.detail(), 0);
            return;
        }
        context.observer().onRetry(request, reason);
        delivery.progress().restart();
        backoffTimer = context.time().schedule(delayMillis, () -> executor.execute(this::routeNext));
    }

    private void onDeadline() {
        if (finished) {
            return;
        }
        stopAttempts();
        fail(RefusalReason.DEADLINE_PASSED, "the deadline expired before the answer was complete", 0);
    }

    private void refuseQuarantined() {
        fail(RefusalReason.QUARANTINED, "this request is in quarantine because it crashed the targets that ran it", 0);
    }

    private void fail(RefusalReason reason, String detail, long retryAfterMillis) {
        boolean partlyDelivered = delivery.progress().deliveredTokens() > 0;
        RunState runState = context.policies().runState().apply(attempts);
        refuse(new Refusal(
                partlyDelivered ? RefusalReason.ANSWER_CUT : reason, runState, detail, "", retryAfterMillis));
    }

    private void refuse(Refusal refusal) {
        if (finished) {
            return;
        }
        context.observer().onRefused(request, refusal);
        delivery.refuse(refusal);
        finish();
    }

    /**
     * Stops the attempts. The stream of a claimed request continues, so that a resend can join it; others are
     * cancelled.
     */
    private void stopAttempts() {
        currentAttempt.ifPresent(attempt -> attempt.stop(claimId.isEmpty()));
        join.ifPresent(ClaimJoin::stop);
    }

    private void finish() {
        finished = true;
        admissionWait.cancel();
        deadlineTimer.cancel();
        backoffTimer.cancel();
        permit.ifPresent(each -> each.release(usedTokens));
        releaseOrAbandonClaim();
        onEnd.run();
    }

    /**
     * Releases the claim if the request did not run. Otherwise a generation is left for a resend to join, and the claim
     * of a service call stays active, because the service's answer can still arrive and is then recorded.
     */
    private void releaseOrAbandonClaim() {
        if (claimId.isEmpty()) {
            return;
        }
        if (attempts.runState() == RunState.NOT_RUN) {
            context.claimStore().release(claimId);
        } else if (request.operation() instanceof Operation.Generate) {
            context.claimStore().abandon(claimId);
        }
    }
}
