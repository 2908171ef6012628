package org.dogwoodwinch.request;

import java.util.Optional;
import org.dogwoodwinch.routing.Route;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.KvReference;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TargetReply;
import org.dogwoodwinch.target.TokenUsage;

/**
 * One attempt of a request: a call to a plain service, a generation on one engine, or a prefill on one engine followed
 * by the generation on another. All methods run on the request's {@link SerialExecutor}.
 */
final class RequestAttempt implements EngineAttempt.Listener {

    /** Receives the result of the attempt, exactly once. */
    interface Listener {

        void onCompleted(StoredAnswer stored, TokenUsage usage);

        void onFailed(Target target, TargetFailure failure);

        void onDiverged();
    }

    private static final String PREFILL_SUFFIX = "-prefill";
    private static final TokenUsage NO_USAGE = new TokenUsage(0, 0, 0);

    private final RequestContext context;
    private final SerialExecutor executor;
    private final CallerRequest request;
    private final AnswerDelivery delivery;
    private final AttemptTracker attempts;
    private final Route.Chosen route;
    private final RouteQuery query;
    private final String attemptId;
    private final Listener listener;
    private final AnswerBuffer answerBuffer;

    private Optional<EngineAttempt> engineAttempt = Optional.empty();
    private Optional<PrefillStep> prefill = Optional.empty();
    private boolean readingEnabled = true;
    private boolean stopped;

    RequestAttempt(
            RequestContext context,
            SerialExecutor executor,
            CallerRequest request,
            AnswerDelivery delivery,
            AttemptTracker attempts,
            Route.Chosen route,
            RouteQuery query,
            String attemptId,
            Listener listener) {
        this.context = context;
        this.executor = executor;
        this.request = request;
        this.delivery = delivery;
        this.attempts = attempts;
        this.route = route;
        this.query = query;
        this.attemptId = attemptId;
        this.listener = listener;
        this.answerBuffer = new AnswerBuffer(context.settings().maxStoredAnswerBytes());
    }

    void start() {
        request.operation()
                .match(
                        operation -> {
                            startGenerate(operation);
                            return null;
                        },
                        operation -> {
                            callService(operation);
                            return null;
                        });
    }

    void setReadingEnabled(boolean enabled) {
        readingEnabled = enabled;
        engineAttempt.ifPresent(each -> each.setReadingEnabled(enabled));
    }

    /**
     * Stops the attempt. A service call that was already sent cannot be cancelled, and its answer is still recorded.
     */
    void stop(boolean cancelOnTarget) {
        stopped = true;
        prefill.ifPresent(PrefillStep::cancel);
        engineAttempt.ifPresent(each -> {
            if (cancelOnTarget) {
                each.cancel();
            } else {
                each.detach();
            }
        });
        context.quarantine().onAttemptEnded(request.fingerprint(), attemptId, false);
    }

    private void startGenerate(Operation.Generate work) {
        if (route.prefillTarget().isPresent()) {
            startPrefill(work, route.prefillTarget().get());
        } else {
            generate(work, Optional.empty());
        }
    }

    private void startPrefill(Operation.Generate work, Target target) {
        String prefillId = attemptId + PREFILL_SUFFIX;
        PrefillStep step = new PrefillStep(
                executor,
                context.clients().engineClient(target),
                prefillId,
                reply -> onPrefilled(work, target, prefillId, reply));
        prefill = Optional.of(step);
        attempts.onSend(prefillId);
        context.observer().onAttemptSending(request, prefillId, target);
        context.router().onSent(prefillId, target, query);
        step.start(TargetCalls.prefill(
                request, work, context.modelLookup().apply(request.entry()), prefillId, context.nowMillis()));
    }

    private void onPrefilled(Operation.Generate work, Target target, String prefillId, TargetReply<KvReference> reply) {
        TokenUsage usage = prefill.map(PrefillStep::usage).orElse(NO_USAGE);
        prefill = Optional.empty();
        reply.match(
                reference -> {
                    context.router().onCompleted(prefillId, usage);
                    generate(work, Optional.of(reference));
                    return null;
                },
                failure -> {
                    context.router().onFailed(prefillId, failure);
                    if (failure.provesNotRun()) {
                        attempts.onProvedNotRun(prefillId);
                    }
                    failAttempt(target, failure, failure instanceof TargetFailure.Broken);
                    return null;
                });
    }

    private void generate(Operation.Generate work, Optional<KvReference> reference) {
        Target target = route.target();
        attempts.onSend(attemptId);
        context.observer().onAttemptSending(request, attemptId, target);
        StreamPointer pointer = new StreamPointer(target.name(), attemptId);
        EngineAttempt attempt = new EngineAttempt(
                context,
                executor,
                request,
                delivery.progress(),
                target,
                pointer,
                false,
                route.expectedFirstTokenMillis(),
                this);
        engineAttempt = Optional.of(attempt);
        attempt.setReadingEnabled(readingEnabled);
        String model = context.modelLookup().apply(request.entry());
        attempt.start(TargetCalls.generate(request, work, model, attemptId, context.nowMillis(), reference), query);
    }

    private void callService(Operation.Service work) {
        Target target = route.target();
        attempts.onSend(attemptId);
        context.observer().onAttemptSending(request, attemptId, target);
        context.router().onSent(attemptId, target, query);
        context.clients()
                .serviceClient(target)
                .call(TargetCalls.service(request, work, attemptId, context.nowMillis()))
                .whenComplete((reply, fault) -> executor.execute(() -> onServiceReply(
                        reply != null
                                ? reply
                                : new TargetReply.Failure<>(
                                        new TargetFailure.Broken("service call failed: " + fault)))));
    }

    private void onServiceReply(TargetReply<ServiceAnswer> reply) {
        if (stopped) {
            context.observer().onLateAnswerDropped(request);
        }
        reply.match(
                serviceAnswer -> {
                    context.router().onCompleted(attemptId, NO_USAGE);
                    context.quarantine().onAttemptEnded(request.fingerprint(), attemptId, true);
                    if (!stopped) {
                        delivery.completeServiceAnswer(serviceAnswer);
                    }
                    listener.onCompleted(answerBuffer.toStoredAnswer(serviceAnswer), NO_USAGE);
                    return null;
                },
                failure -> {
                    context.router().onFailed(attemptId, failure);
                    failAttempt(route.target(), failure, failure instanceof TargetFailure.Broken);
                    return null;
                });
    }

    @Override
    public void onDelivered(AnswerChunk chunk) {
        answerBuffer.append(chunk.text());
        delivery.deliver(chunk);
    }

    @Override
    public void onCompleted(TokenUsage usage, String finishReason) {
        context.quarantine().onAttemptEnded(request.fingerprint(), attemptId, true);
        delivery.complete(usage, finishReason);
        listener.onCompleted(answerBuffer.toStoredAnswer(usage, finishReason), usage);
    }

    @Override
    public void onAttemptFailed(TargetFailure failure, boolean crashed) {
        failAttempt(route.target(), failure, crashed);
    }

    @Override
    public void onDiverged() {
        context.quarantine().onAttemptEnded(request.fingerprint(), attemptId, false);
        listener.onDiverged();
    }

    private void failAttempt(Target target, TargetFailure failure, boolean crashed) {
        if (failure.provesNotRun()) {
            attempts.onProvedNotRun(attemptId);
        }
        if (crashed) {
            context.quarantine().onCrash(request.fingerprint(), attemptId, target.name());
        } else {
            context.quarantine().onAttemptEnded(request.fingerprint(), attemptId, false);
        }
        listener.onFailed(target, failure);
    }
}
