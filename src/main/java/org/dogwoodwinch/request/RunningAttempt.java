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
import org.dogwoodwinch.target.Usage;

/**
 * One attempt from its send to its end: a call of a plain service, a generation on one engine, or a prefill on one
 * engine and the generation on another. All methods run on the request's {@link SerialQueue}.
 */
final class RunningAttempt implements EngineAttempt.Events {

    /** Hears how the attempt ended, once. */
    interface Events {

        void onWhole(KeptAnswer kept, Usage usage);

        void onFailed(Target target, TargetFailure failure);

        void onDiverged();
    }

    private static final String PREFILL_SUFFIX = "-prefill";
    private static final Usage NO_USAGE = new Usage(0, 0, 0);

    private final RequestContext context;
    private final SerialQueue queue;
    private final CallerRequest request;
    private final CallerAnswer answer;
    private final AttemptLedger ledger;
    private final Route.Chosen route;
    private final RouteQuery query;
    private final String attemptId;
    private final Events events;
    private final AnswerKeeper keeper;

    private Optional<EngineAttempt> engineAttempt = Optional.empty();
    private Optional<PrefillStep> prefill = Optional.empty();
    private boolean reading = true;
    private boolean stopped;

    RunningAttempt(
            RequestContext context,
            SerialQueue queue,
            CallerRequest request,
            CallerAnswer answer,
            AttemptLedger ledger,
            Route.Chosen route,
            RouteQuery query,
            String attemptId,
            Events events) {
        this.context = context;
        this.queue = queue;
        this.request = request;
        this.answer = answer;
        this.ledger = ledger;
        this.route = route;
        this.query = query;
        this.attemptId = attemptId;
        this.events = events;
        this.keeper = new AnswerKeeper(context.settings().maxKeptAnswerBytes());
    }

    void start() {
        request.work()
                .match(
                        work -> {
                            startGenerate(work);
                            return null;
                        },
                        work -> {
                            callService(work);
                            return null;
                        });
    }

    void setReading(boolean wanted) {
        reading = wanted;
        engineAttempt.ifPresent(each -> each.setReading(wanted));
    }

    /** Stops the attempt; a service's call that was sent cannot be taken back, and its answer is still recorded. */
    void stop(boolean cancelled) {
        stopped = true;
        prefill.ifPresent(PrefillStep::cancel);
        engineAttempt.ifPresent(each -> {
            if (cancelled) {
                each.cancel();
            } else {
                each.detach();
            }
        });
        context.quarantine().onEnded(request.fingerprint(), attemptId, false);
    }

    private void startGenerate(Work.Generate work) {
        if (route.prefillTarget().isPresent()) {
            startPrefill(work, route.prefillTarget().get());
        } else {
            generate(work, Optional.empty());
        }
    }

    private void startPrefill(Work.Generate work, Target target) {
        String prefillId = attemptId + PREFILL_SUFFIX;
        PrefillStep step = new PrefillStep(
                queue,
                context.clients().engine(target),
                prefillId,
                reply -> onPrefilled(work, target, prefillId, reply));
        prefill = Optional.of(step);
        ledger.onSend(prefillId);
        context.observer().onAttempt(request, prefillId, target);
        context.router().onSent(prefillId, target, query);
        step.start(WorkCalls.prefill(
                request, work, context.models().apply(request.entry()), prefillId, context.nowMillis()));
    }

    private void onPrefilled(Work.Generate work, Target target, String prefillId, TargetReply<KvReference> reply) {
        Usage usage = prefill.map(PrefillStep::usage).orElse(NO_USAGE);
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
                        ledger.onProvedNotRun(prefillId);
                    }
                    endFailed(target, failure, failure instanceof TargetFailure.Broken);
                    return null;
                });
    }

    private void generate(Work.Generate work, Optional<KvReference> reference) {
        Target target = route.target();
        ledger.onSend(attemptId);
        context.observer().onAttempt(request, attemptId, target);
        StreamPointer pointer = new StreamPointer(target.name(), attemptId);
        EngineAttempt attempt = new EngineAttempt(
                context,
                queue,
                request,
                answer.progress(),
                target,
                pointer,
                false,
                route.expectedFirstTokenMillis(),
                this);
        engineAttempt = Optional.of(attempt);
        attempt.setReading(reading);
        String model = context.models().apply(request.entry());
        attempt.start(WorkCalls.generate(request, work, model, attemptId, context.nowMillis(), reference), query);
    }

    private void callService(Work.Service work) {
        Target target = route.target();
        ledger.onSend(attemptId);
        context.observer().onAttempt(request, attemptId, target);
        context.router().onSent(attemptId, target, query);
        context.clients()
                .service(target)
                .call(WorkCalls.service(request, work, attemptId, context.nowMillis()))
                .whenComplete((reply, fault) -> queue.execute(() -> onServiceReply(
                        reply != null
                                ? reply
                                : new TargetReply.Failure<>(new TargetFailure.Broken("call: " + fault)))));
    }

    private void onServiceReply(TargetReply<ServiceAnswer> reply) {
        if (stopped) {
            context.observer().onLateAnswer(request);
        }
        reply.match(
                serviceAnswer -> {
                    context.router().onCompleted(attemptId, NO_USAGE);
                    context.quarantine().onEnded(request.fingerprint(), attemptId, true);
                    if (!stopped) {
                        answer.completeService(serviceAnswer);
                    }
                    events.onWhole(keeper.keep(serviceAnswer), NO_USAGE);
                    return null;
                },
                failure -> {
                    context.router().onFailed(attemptId, failure);
                    endFailed(route.target(), failure, failure instanceof TargetFailure.Broken);
                    return null;
                });
    }

    @Override
    public void onDelivered(AnswerChunk chunk) {
        keeper.add(chunk.text());
        answer.deliver(chunk);
    }

    @Override
    public void onWhole(Usage usage, String finishReason) {
        context.quarantine().onEnded(request.fingerprint(), attemptId, true);
        answer.complete(usage, finishReason);
        events.onWhole(keeper.keep(usage, finishReason), usage);
    }

    @Override
    public void onAttemptFailed(TargetFailure failure, boolean crashed) {
        endFailed(route.target(), failure, crashed);
    }

    @Override
    public void onDiverged() {
        context.quarantine().onEnded(request.fingerprint(), attemptId, false);
        events.onDiverged();
    }

    private void endFailed(Target target, TargetFailure failure, boolean crashed) {
        if (failure.provesNotRun()) {
            ledger.onProvedNotRun(attemptId);
        }
        if (crashed) {
            context.quarantine().onCrash(request.fingerprint(), attemptId, target.name());
        } else {
            context.quarantine().onEnded(request.fingerprint(), attemptId, false);
        }
        events.onFailed(target, failure);
    }
}
