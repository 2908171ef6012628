package org.dogwoodwinch.request;

import java.util.Optional;
import org.dogwoodwinch.admission.AdmissionDecision;
import org.dogwoodwinch.admission.Permit;
import org.dogwoodwinch.routing.Route;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.Usage;
import org.dogwoodwinch.time.Cancellable;

/**
 * One request's life: admitted, routed, claimed where its key demands it, attempted, and ended with one answer.
 *
 * <p>All of it runs on one {@link SerialQueue}. {@link AttemptLedger} alone decides the word of a refusal.
 */
final class RequestRun implements RequestHandle {

    private static final Cancellable NOTHING = () -> {};

    private final RequestContext context;
    private final CallerRequest request;
    private final CallerAnswer answer;
    private final Runnable onEnd;
    private final SerialQueue queue = new SerialQueue(this::onFault);
    private final AttemptLedger ledger = new AttemptLedger();

    private Cancellable admissionWait = NOTHING;
    private Cancellable deadline = NOTHING;
    private Cancellable backoff = NOTHING;
    private Optional<Permit> permit = Optional.empty();
    private Optional<RunningAttempt> running = Optional.empty();
    private Optional<ClaimJoin> join = Optional.empty();
    private String claimId = "";
    private long usedTokens = -1;
    private boolean reading = true;
    private boolean over;

    RequestRun(RequestContext context, CallerRequest request, AnswerSink sink, Runnable onEnd) {
        this.context = context;
        this.request = request;
        this.answer = new CallerAnswer(context, request, sink);
        this.onEnd = onEnd;
    }

    void start() {
        queue.execute(this::begin);
    }

    @Override
    public void pauseReading() {
        queue.execute(() -> setReading(false));
    }

    @Override
    public void resumeReading() {
        queue.execute(() -> setReading(true));
    }

    @Override
    public void cancel() {
        queue.execute(() -> {
            if (!over) {
                context.observer().onCancelled(request);
                stopAttempts();
                end();
            }
        });
    }

    private void setReading(boolean wanted) {
        reading = wanted;
        running.ifPresent(attempt -> attempt.setReading(wanted));
        join.ifPresent(each -> each.setReading(wanted));
    }

    /** A broken invariant ends this request with an answer; the others go on. */
    private void onFault(RuntimeException fault) {
        context.observer().onFault(request, fault);
        if (!over) {
            stopAttempts();
            giveUp(RefusalReason.INTERNAL, "an internal fault", 0);
        }
    }

    private void begin() {
        if (context.quarantine().standing(request.fingerprint()) == Quarantine.Standing.QUARANTINED) {
            refuseQuarantined();
            return;
        }
        long remainingMillis = request.remainingMillis(context.nowMillis());
        deadline = context.time().schedule(remainingMillis, () -> queue.execute(this::onDeadline));
        admissionWait = context.admission().admit(request, decision -> queue.execute(() -> onAdmission(decision)));
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
        if (over) {
            // The deadline passed while the grant was on its way: nobody else would give the permit back.
            granted.release(0);
            return;
        }
        permit = Optional.of(granted);
        context.budget().onFirstAttempt(request.entry().owner());
        routeNext();
    }

    private void routeNext() {
        if (over) {
            return;
        }
        if (context.quarantine().standing(request.fingerprint()) == Quarantine.Standing.QUARANTINED) {
            refuseQuarantined();
            return;
        }
        RouteQuery asked = null;
        Route route = null;
        for (RouteQuery query :
                RouteQueries.of(request, context.quarantine(), ledger.failedTargets(), context.nowMillis())) {
            if (!(route instanceof Route.Chosen)) {
                asked = query;
                route = context.router().route(query);
            }
        }
        RouteQuery routed = asked;
        route.match(
                chosen -> {
                    onRoute(chosen, routed);
                    return null;
                },
                none -> {
                    onNoRoute(none);
                    return null;
                });
    }

    private void onNoRoute(Route.NoTarget none) {
        RefusalReason reason = ledger.attempts() == 0 ? RefusalReason.NO_TARGET : RefusalReason.TARGET_FAILED;
        giveUp(reason, none.detail(), none.retryAfterMillis());
    }

    private void onRoute(Route.Chosen chosen, RouteQuery query) {
        String attemptId = context.attemptIds().get();
        StreamPointer pointer = new StreamPointer(chosen.target().name(), attemptId);
        if (!claimId.isEmpty()) {
            context.claims().moved(claimId, pointer);
        }
        if (!needsClaim() || !claimId.isEmpty()) {
            send(chosen, query, attemptId);
            return;
        }
        ClaimRequest claim = ClaimRequest.of(request, pointer);
        context.claims().claim(claim, outcome -> queue.execute(() -> onClaim(outcome, claim, chosen, query)));
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
        if (over) {
            // It was given up while the claim was on its way; nothing was sent, so a resend may run.
            if (outcome instanceof ClaimOutcome.Won won) {
                context.claims().released(won.claimId());
            }
            return;
        }
        outcome.match(
                won -> {
                    claimId = won.claimId();
                    send(chosen, query, claim.pointer().attemptId());
                    return null;
                },
                earlier -> {
                    startJoin(claim, earlier.claim());
                    return null;
                },
                _keyReused -> {
                    refuse(Refusal.notRun(
                            RefusalReason.KEY_REUSED, "the idempotency key belongs to a different request", 0));
                    return null;
                },
                unavailable -> {
                    refuse(Refusal.notRun(
                            RefusalReason.LOG_UNAVAILABLE, unavailable.detail(), unavailable.retryAfterMillis()));
                    return null;
                });
    }

    private void startJoin(ClaimRequest claim, HeldClaim held) {
        context.observer().onJoined(request);
        ClaimJoin next = new ClaimJoin(context, queue, request, answer, claim, new ClaimJoin.Events() {
            @Override
            public void onJoinedWhole(Usage usage) {
                usedTokens = 0;
                context.observer().onCompleted(request, usage);
                end();
            }

            @Override
            public void onKeyFree() {
                join = Optional.empty();
                routeNext();
            }

            @Override
            public void onLost() {
                refuse(Refusal.mayHaveRun(
                        RefusalReason.MAY_HAVE_RUN, "a request with this key was started and its answer is gone"));
            }
        });
        join = Optional.of(next);
        next.setReading(reading);
        next.start(held);
    }

    private void send(Route.Chosen chosen, RouteQuery query, String attemptId) {
        if (query.crashSuspect()) {
            context.quarantine()
                    .onTrial(request.fingerprint(), attemptId, chosen.target().name());
        }
        RunningAttempt next =
                new RunningAttempt(context, queue, request, answer, ledger, chosen, query, attemptId, attemptEvents());
        running = Optional.of(next);
        next.setReading(reading);
        next.start();
    }

    private RunningAttempt.Events attemptEvents() {
        return new RunningAttempt.Events() {
            @Override
            public void onWhole(KeptAnswer kept, Usage usage) {
                RequestRun.this.onWhole(kept, usage);
            }

            @Override
            public void onFailed(Target target, TargetFailure failure) {
                RequestRun.this.onFailed(target, failure);
            }

            @Override
            public void onDiverged() {
                giveUp(RefusalReason.ANSWER_CUT, "another run began with a different text", 0);
            }
        };
    }

    private void onWhole(KeptAnswer kept, Usage usage) {
        if (!claimId.isEmpty()) {
            context.claims().completed(claimId, kept);
        }
        if (over) {
            return;
        }
        usedTokens = usage.promptTokens() + usage.completionTokens();
        context.observer().onCompleted(request, usage);
        end();
    }

    private void onFailed(Target target, TargetFailure failure) {
        ledger.onTargetFailed(target.name());
        if (over) {
            settleClaim();
            return;
        }
        running = Optional.empty();
        context.policies()
                .retry()
                .decide(request.entry().repeatable(), failure)
                .match(
                        retry -> {
                            retryLater(retry.reason(), failure);
                            return null;
                        },
                        stop -> {
                            giveUp(stop.reason(), failure.detail(), stop.retryAfterMillis());
                            return null;
                        });
    }

    private void retryLater(RetryReason reason, TargetFailure failure) {
        if (ledger.attempts() >= context.settings().maxAttempts()) {
            giveUp(
                    RefusalReason.TARGET_FAILED,
                    failure.detail(),
                    context.settings().backoffMaxMillis());
            return;
        }
        if (!context.budget().tryRetry(request.entry().owner())) {
            giveUp(
                    RefusalReason.RETRY_BUDGET,
                    failure.detail(),
                    context.settings().backoffMaxMillis());
            return;
        }
        long delayMillis = context.backoff().delayMillis(ledger.attempts());
        if (delayMillis >= request.remainingMillis(context.nowMillis())) {
            giveUp(RefusalReason.DEADLINE_UNMEETABLE, failure.detail(), 0);
            return;
        }
        context.observer().onRetry(request, reason);
        answer.progress().startAgain();
        backoff = context.time().schedule(delayMillis, () -> queue.execute(this::routeNext));
    }

    private void onDeadline() {
        if (over) {
            return;
        }
        stopAttempts();
        giveUp(RefusalReason.DEADLINE_PASSED, "the deadline passed", 0);
    }

    private void refuseQuarantined() {
        giveUp(RefusalReason.QUARANTINED, "this request crashed the targets that ran it", 0);
    }

    private void giveUp(RefusalReason reason, String detail, long retryAfterMillis) {
        boolean cut = answer.progress().delivered() > 0;
        RunState runState = context.policies().runState().apply(ledger);
        refuse(new Refusal(cut ? RefusalReason.ANSWER_CUT : reason, runState, detail, "", retryAfterMillis));
    }

    private void refuse(Refusal refusal) {
        if (over) {
            return;
        }
        context.observer().onRefused(request, refusal);
        answer.refuse(refusal);
        end();
    }

    /** A claimed stream runs on, so that a resend of its key can join it; any other is cancelled. */
    private void stopAttempts() {
        running.ifPresent(attempt -> attempt.stop(claimId.isEmpty()));
        join.ifPresent(ClaimJoin::stop);
    }

    private void end() {
        over = true;
        admissionWait.cancel();
        deadline.cancel();
        backoff.cancel();
        permit.ifPresent(each -> each.release(usedTokens));
        settleClaim();
        onEnd.run();
    }

    /** A service's answer can still come and is recorded; a stream can be joined by a resend of the key. */
    private void settleClaim() {
        if (claimId.isEmpty()) {
            return;
        }
        if (ledger.runState() == RunState.NOT_RUN) {
            context.claims().released(claimId);
        } else if (request.work() instanceof Work.Generate) {
            context.claims().abandoned(claimId);
        }
    }
}
