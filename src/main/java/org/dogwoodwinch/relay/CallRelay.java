package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.CallProgress;
import org.dogwoodwinch.forwarding.ForwardingPlan;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.NextStep;
import org.dogwoodwinch.forwarding.Prompt;
import org.dogwoodwinch.forwarding.RouteKind;
import org.dogwoodwinch.forwarding.SendCheck;
import org.dogwoodwinch.forwarding.SendOutcome;
import org.dogwoodwinch.forwarding.ServiceEntry;
import org.dogwoodwinch.forwarding.ServiceRoute;
import org.dogwoodwinch.time.Cancellable;

/**
 * Forwards one call: sends it to a target, evaluates the response, retries where that is safe, and gives the caller
 * exactly one response. Confined to one event loop.
 */
final class CallRelay implements ResponseSink, ActiveCall {

    /** The reason of an answer to a call that has not run. */
    static final String NOT_RUN = "not run";

    private final RelayContext context;
    private final IncomingCall call;
    private final CallAttributes attributes;
    private final ServiceRoute route;
    private final ServiceEntry service;
    private final Optional<StreamOrigin.Known> origin;
    private final long configVersion;
    private final long deadlineMillis;
    private final CallSuspicion suspicion;
    private final QueuedCall queued;
    private final Consumer<CallRelay> onDone;
    private final CallStartRecorder startRecorder;
    private final StreamContinuity continuity;
    private final CallAttempts attempts = new CallAttempts();
    private final CallRetries retries;
    private final CallRequests requests;
    private final CallTargets targets;
    private final CallPrefill prefill;
    private final CallPassing passing;
    private final CallerAnswer answer;
    private Cancellable deadlineTimer;
    private ForwardingPlan plan;
    private TargetConnection connection;
    private Optional<InFlightSend> inFlight = Optional.empty();
    private EventFramer eventFramer;
    private boolean done;

    /**
     * Creates a relay that sends nothing before {@link #start}.
     *
     * @param context the services that all relays share, not null
     * @param routed the request with its owner, route and service, not null
     * @param caller writes the response to the caller, not null
     * @param onDone receives this relay exactly once, when the call has ended in any way, not null
     */
    CallRelay(RelayContext context, RoutedCall routed, CallerResponse caller, Consumer<CallRelay> onDone) {
        this.context = Objects.requireNonNull(context, "context");
        this.call = routed.call();
        this.attributes = routed.attributes();
        this.route = routed.route();
        this.service = routed.service();
        this.origin = routed.origin();
        this.onDone = Objects.requireNonNull(onDone, "onDone");
        this.deadlineMillis = call.deadlineMillis(route, attributes);
        this.eventFramer = new EventFramer(attributes.lastEventId());
        this.suspicion = CallSuspicion.of(context, routed);
        this.queued = context.queue().placeOf(routed, deadlineMillis, suspicion.fingerprint());
        this.continuity = new StreamContinuity(context.streamOrigins(), routed, this::reportFirstEvent);
        this.configVersion = routed.configVersion();
        this.startRecorder = new CallStartRecorder(context.callStarts(), routed.owner(), route.kind(), context.time());
        this.retries = new CallRetries(context, routed, suspicion, attempts);
        this.requests = new CallRequests(context, routed);
        this.targets = new CallTargets(context, routed, attempts, suspicion, continuity);
        this.prefill = new CallPrefill(context, routed, attempts, retries, suspicion, this::handlePrefillOutcome);
        this.passing = new CallPassing(
                context, routed, attempts, retries, caller, this::endWithoutAnswer, () -> onDone.accept(this));
        this.answer = new CallerAnswer(caller, context.callHeaders(), this::recordFirstByte, this::pauseReading);
    }

    /** Sends the call, or refuses it at once if it or a segment of its prompt crashes targets. */
    void start() {
        deadlineTimer = context.time().schedule(remainingMillis(), this::handleDeadline);
        // Recorded once per call: if each send recorded it, the call's own last segment would look like a session's.
        attributes.prompt().ifPresent(context.cacheIndex().sharedSegments()::recordPrompt);
        suspicion.admit(refusal -> {
            if (refusal.isPresent()) {
                refuse(refusal.get());
            } else if (origin.isPresent()) {
                context.report().streamTakenUp(this, origin.get());
                chooseAndSend();
            } else {
                queued.awaitCapacity(this::chooseAndSend, this::refuseQueued);
            }
        });
    }

    /** Ends the call because it must not be written to a target. */
    private void refuse(CallSuspicion.Refusal refusal) {
        context.report().heldBack(this, refusal);
        endUnserved(LocalResponses.BAD_GATEWAY, refusal.reason(), refusal.retryAfterMillis());
    }

    /** Ends the call because it cannot be served before its caller leaves. */
    private void refuseQueued(long retryAfterMillis) {
        endUnserved(LocalResponses.BAD_GATEWAY, "not run: no capacity in time", retryAfterMillis);
    }

    /**
     * Refuses the call if it may no longer be written to a target.
     *
     * <p>Failure: a call waits for the store, a first stage or a connection while its segment is found to crash targets,
     * and is then sent all the same.
     */
    private boolean refuseIfHeldBack() {
        Optional<CallSuspicion.Refusal> refusal = suspicion.refusal();
        refusal.ifPresent(this::refuse);
        return refusal.isPresent();
    }

    @Override
    public void onCallerClosed() {
        passing.onCallerClosed();
        if (done) {
            return;
        }
        context.report().callerDisconnected(this);
        finish();
    }

    @Override
    public void onCallerWritable() {
        passing.onCallerWritable();
        if (connection != null) {
            connection.setReading(true);
        }
    }

    @Override
    public Optional<StoppedCall> onInstanceStop() {
        if (done) {
            return passing.onInstanceStop();
        }
        StoppedCall.Ending ending = passing.endingAtStop(answer.isBegun(), mayHaveRun());
        StoppedCall stopped = new StoppedCall(requestId(), stage(), ending, ageMillis());
        if (ending == StoppedCall.Ending.NOT_TAKEN_OVER) {
            passing.returnCall(LocalResponses.STOPPING);
        } else {
            endUnserved(LocalResponses.BAD_GATEWAY, NOT_RUN, retryAfterMillis());
        }
        return Optional.of(stopped);
    }

    String requestId() {
        return attributes.requestId().orElse("");
    }

    ServiceRoute route() {
        return route;
    }

    String serviceName() {
        return service.name();
    }

    Optional<String> targetId() {
        return Optional.ofNullable(plan).map(chosen -> chosen.target().id());
    }

    /** Returns the software version of the targets that may run the call; empty if any may. */
    Optional<String> softwareVersion() {
        return continuity.softwareVersion();
    }

    /** Returns the id of the stream that the caller takes up, as the caller names it; empty if it names none. */
    String resumes() {
        return attributes.resumes().orElse("");
    }

    /** Returns the id of the last event that the caller has received, as the caller names it. */
    Optional<String> namedLastEventId() {
        return attributes.lastEventId();
    }

    /** Returns the version of the configuration that decided the route and the service. */
    long configVersion() {
        return configVersion;
    }

    /** Returns the current stage of the call for log lines. */
    String stage() {
        if (prefill.engine().isPresent()) {
            return "prompt_read_by_" + prefill.engine().get().id();
        }
        if (inFlight.isEmpty()) {
            return "not_sent";
        }
        return answer.isBegun() ? "answering" : "sent";
    }

    /** Returns the time since the call was sent to its current target, in milliseconds; -1 if no send is under way. */
    long sentMillis() {
        return inFlight.map(InFlightSend::ageMillis).orElse(-1L);
    }

    /** Returns whether a target or another instance may have received the call. */
    boolean isSentOn() {
        return attempts.isWritten() || passing.isPassedOn();
    }

    int sendsCount() {
        return attempts.sendsCount();
    }

    long ageMillis() {
        return context.time().monotonicMillis() - call.arrivalMillis();
    }

    private long remainingMillis() {
        return deadlineMillis - context.time().monotonicMillis();
    }

    private void chooseAndSend() {
        if (refuseIfHeldBack() || (!answer.isBegun() && passing.passOnIfCutOff())) {
            return;
        }
        Optional<ForwardingPlan> chosen = targets.choose();
        if (chosen.isEmpty()) {
            handleNoTarget();
            return;
        }
        plan = chosen.get();
        if (plan.prefillTarget().isPresent()) {
            Incarnation engine = plan.prefillTarget().get();
            prefill.start(engine, plan.prefillWork(), () -> {
                queued.recordSent();
                return requests.forPrefill(engine, plan.prefillWork(), eventFramer.lastEventId());
            });
        } else {
            connect();
        }
    }

    private void handleNoTarget() {
        NextStep step = context.retryPolicy().giveUp(progress());
        if (!leaveToNeighbours(step)) {
            context.report().noTarget(this);
            end(new SendOutcome.NotSent("no_target"), step);
        }
    }

    /**
     * Continues after a remote prefill. If it gave no usable cache handle, the call has not run and is sent to a target
     * that also prefills the prompt.
     */
    private void handlePrefillOutcome(Incarnation engine, PrefillOutcome outcome) {
        if (outcome instanceof PrefillOutcome.Completed) {
            sendAfterPrefill(engine);
        } else if (outcome instanceof PrefillOutcome.Failed failed) {
            handlePrefillFailure(engine, failed.reason());
        } else {
            String reason = outcome instanceof PrefillOutcome.NotSent notSent
                    ? notSent.reason()
                    : ((PrefillOutcome.NoCacheHandle) outcome).reason();
            context.report().prefillFailed(this, engine, reason, new NextStep.SendAgain(), retries.remaining());
            chooseAndSend();
        }
    }

    private void sendAfterPrefill(Incarnation prefillTarget) {
        if (refuseIfHeldBack()) {
            return;
        }
        Optional<Incarnation> runner = targets.chooseAfterPrefill(prefillTarget);
        if (runner.isEmpty()) {
            handleNoTarget();
            return;
        }
        plan = new ForwardingPlan(
                runner.get(), Optional.empty(), plan.prefillWork().withoutPrefill());
        connect();
    }

    /**
     * Handles a prefill that the engine rejected or that was cut off. The engine received a request, so whatever
     * follows is a retry and takes from the retry budget.
     *
     * <p>Failure: prefill engines drop their connections, each of the calls is sent on to another target, and no budget
     * limits that. The service then receives twice its calls at the moment when a part of it is broken.
     */
    private void handlePrefillFailure(Incarnation prefillTarget, String reason) {
        SendOutcome outcome = new SendOutcome.NotPrefilled(reason);
        NextStep step = context.retryPolicy().nextStep(outcome, progress(), () -> retries.tryTake(false));
        context.report().prefillFailed(this, prefillTarget, reason, step, retries.remaining());
        execute(outcome, step);
    }

    private void connect() {
        context.connections()
                .acquire(
                        plan.target(),
                        requestId(),
                        context.connectionsPerTarget(service),
                        new TargetConnectionPool.AcquireCallback() {
                            @Override
                            public void acquired(TargetConnection taken) {
                                context.afterCallerReads(call.arrivalMillis(), () -> send(taken));
                            }

                            @Override
                            public void notAcquired(String reason) {
                                attempts.recordUnsent(plan.target().id(), reason);
                                onEnd(new SendOutcome.NotSent(reason));
                            }
                        });
    }

    private void send(TargetConnection acquired) {
        if (done) {
            context.connections().release(acquired);
            return;
        }
        if (remainingMillis() <= 0) {
            context.connections().release(acquired);
            handleDeadline();
            return;
        }
        Optional<CallSuspicion.Refusal> refusal = suspicion.refusal();
        if (refusal.isPresent()) {
            context.connections().release(acquired);
            refuse(refusal.get());
            return;
        }
        if (!acquired.isOpen()) {
            chooseAgain();
            return;
        }
        SendCheck check = context.chooser().checkSend(plan.target());
        if (check != SendCheck.ALLOWED) {
            context.connections().release(acquired);
            context.report().keptFromTarget(requestId(), plan.target(), check);
            chooseAgain();
            return;
        }
        connection = acquired;
        startRecorder.onSent();
        retries.recordWritten();
        attempts.recordSent(plan.target().id());
        answer.beginSend();
        continuity.beginSend(eventFramer.lastEventId());
        Optional<Prompt> promptToPrefill = prefill.cacheHandle().isPresent() ? Optional.empty() : attributes.prompt();
        InFlightSend started = InFlightSend.start(context, plan.target(), promptToPrefill, plan.prefillWork());
        inFlight = Optional.of(started);
        SendPurpose purpose = sendsCount() > 0 ? SendPurpose.REPEAT : SendPurpose.RUN;
        context.report().sent(requestId(), plan.target(), plan.prefillWork(), started.aheadTokens(), purpose);
        suspicion.recordSent(plan.target());
        queued.recordSent();
        OutboundCall outbound = requests.forRun(plan, prefill.cacheHandle(), eventFramer.lastEventId());
        prefill.recordCacheUsed();
        acquired.send(outbound, this);
    }

    /** Chooses another target. Nothing was sent, so this takes nothing from the retry budget. */
    private void chooseAgain() {
        if (prefill.cacheHandle().isPresent()) {
            sendAfterPrefill(prefill.cacheHolder());
        } else {
            chooseAndSend();
        }
    }

    @Override
    public void onHead(ResponseAttributes responseAttributes, HttpHeaders headers) {
        answer.onHead(responseAttributes, headers);
        inFlight.ifPresent(started -> started.recordResponseHead(responseAttributes));
    }

    @Override
    public void onBody(ByteBuf chunk) {
        if (done) {
            return;
        }
        if (!answer.isSuccess()) {
            if (!answer.bufferFailure(chunk)) {
                abandonEndless("failure");
                onEnd(new SendOutcome.Unknown("failure_too_long"));
            }
            return;
        }
        inFlight.ifPresent(InFlightSend::recordPrefillDone);
        if (route.kind() == RouteKind.STREAM) {
            startRecorder.onStreamEvent();
            relayEvents(chunk);
        } else {
            answer.relayOrBuffer(chunk);
        }
    }

    private void relayEvents(ByteBuf chunk) {
        int earlierEventsCount = eventFramer.eventsCount();
        byte[] whole = eventFramer.append(chunk);
        if (eventFramer.eventsCount() > earlierEventsCount) {
            inFlight.ifPresent(started -> started.recordEvents(route.maxEventGapMillis()));
        }
        if (eventFramer.eventsCount() > 0) {
            suspicion.recordBegin();
            continuity.onEvents(plan.target());
        }
        answer.relay(whole);
        if (eventFramer.isEventTooLong()) {
            abandonEndless("event");
            onEnd(new SendOutcome.Unknown("event_too_long"));
        } else if (eventFramer.hasRepeatedEvent() || eventFramer.hasOtherAnswer()) {
            abandonSend();
            onEnd(new SendOutcome.Unknown(eventFramer.hasRepeatedEvent() ? "repeated_event" : "other_answer"));
        }
    }

    /** Ends a send whose response exceeds a limit, and leaves its target out for a while, as one that breaks off calls. */
    private void abandonEndless(String kind) {
        if (inFlight.isPresent()) {
            connection.abortEndless(kind);
            releaseSend();
            context.recordLoss(plan.target().id(), true);
        }
    }

    private void recordFirstByte() {
        context.report().firstByte(this);
        queued.recordFirstEvent();
    }

    private void pauseReading() {
        if (connection != null) {
            connection.setReading(false);
        }
    }

    @Override
    public void onEnd(ResponseEnd end) {
        context.recordResponse(plan.target().id(), answer.isMisdirected());
        releaseSend();
        if (done) {
            return;
        }
        if (answer.isSuccess()) {
            handleSuccess(end);
        } else {
            suspicion.recordFailure();
            onEnd(answer.failure());
        }
    }

    private void handleSuccess(ResponseEnd end) {
        // The platform states that a plain body without a length and without chunks is complete at an orderly close.
        ResponseVerdict verdict =
                route.kind() == RouteKind.STREAM && !call.method().equals(HttpMethod.HEAD)
                        ? ResponseVerdict.ofEvents(end, eventFramer.isInsideEvent(), eventFramer.eventsCount())
                        : ResponseVerdict.COMPLETE;
        context.report().responseEnded(this, end, verdict, eventFramer.eventsCount());
        if (verdict != ResponseVerdict.COMPLETE) {
            recordLostCall();
            onEnd(new SendOutcome.Unknown(verdict.reason()));
            return;
        }
        answer.relay(eventFramer.takeTrailing());
        startRecorder.onMayHaveRun();
        suspicion.recordComplete();
        context.report().succeeded(this);
        queued.recordCompletion();
        answer.complete();
        finish();
    }

    @Override
    public void onLost(String reason, boolean connectionAborted) {
        inFlight.ifPresent(InFlightSend::recordLost);
        releaseSend();
        context.recordLoss(plan.target().id(), connectionAborted);
        if (!done) {
            recordLostCall();
            onEnd(new SendOutcome.Unknown(reason));
        }
    }

    @Override
    public void onUnproved(String reason) {
        inFlight.ifPresent(InFlightSend::recordLost);
        releaseSend();
        if (!done) {
            suspicion.recordFailure();
            onEnd(new SendOutcome.Unknown(reason));
        }
    }

    private void recordLostCall() {
        if (suspicion.recordLost(plan.target())) {
            context.crashProbe().probe(plan.target());
        }
    }

    private void onEnd(SendOutcome outcome) {
        if (done) {
            return;
        }
        if (outcome instanceof SendOutcome.Rejected) {
            suspicion.recordNotRun();
            attempts.recordNotRun();
        } else if (!(outcome instanceof SendOutcome.NotSent)) {
            attempts.recordMayHaveRun();
            startRecorder.onMayHaveRun();
        }
        eventFramer.beginResponse();
        NextStep step = context.retryPolicy()
                .nextStep(outcome, progress(), () -> retries.tryTake(outcome instanceof SendOutcome.Unknown));
        context.report().sendFailed(this, outcome, step, retries.remaining());
        execute(outcome, step);
    }

    private CallProgress progress() {
        return attempts.toProgress(route, remainingMillis(), targets.millisUntilCapacity());
    }

    private void execute(SendOutcome outcome, NextStep step) {
        if (step instanceof NextStep.SendAgain) {
            chooseAndSend();
        } else if (!leaveToNeighbours(step)) {
            end(outcome, step);
        }
    }

    /** Leaves a call that would be refused to another instance, which ends it here, if that may serve it. */
    private boolean leaveToNeighbours(NextStep step) {
        return step instanceof NextStep.Refuse refuse
                && !answer.isBegun()
                && (passing.passOnIfCutOff() || passing.leaveToNeighbours(refuse));
    }

    private void end(SendOutcome outcome, NextStep step) {
        if (step instanceof NextStep.Refuse refuse) {
            answer.refuse(NOT_RUN, refuse.retryAfterMillis());
        } else if (step instanceof NextStep.RelayFailure && outcome instanceof SendOutcome.RanAndFailed) {
            answer.relayFailure();
        } else {
            answer.fail(LocalResponses.BAD_GATEWAY);
        }
        finish();
    }

    /**
     * Passes the call on because this instance is cut off from all targets and the call waits for one from which nothing
     * arrives. A target may have received it: a call that must not run twice goes on waiting, and for any other one
     * that was written this is a retry.
     */
    void passOnWaiting() {
        boolean mayRunTwice = inFlight.isEmpty() || route.isIdempotent();
        if (done || answer.isBegun() || answer.hasHead() || !mayRunTwice || !passing.mayPassOnWaiting()) {
            return;
        }
        if (inFlight.isPresent()) {
            attempts.recordMayHaveRun();
            abandonSend();
        }
        passing.passOnIfCutOff();
    }

    /** Ends the call here without an answer, since another instance answers the caller, or finds one that does. */
    private void endWithoutAnswer() {
        done = true;
        reportTakeUpWithoutEvent();
        releaseAll();
        suspicion.recordFailure();
        suspicion.close();
    }

    private void handleDeadline() {
        if (done) {
            return;
        }
        context.report().deadlineExceeded(this, mayHaveRun());
        endUnserved(LocalResponses.GATEWAY_TIMEOUT, NOT_RUN, retryAfterMillis());
    }

    private boolean mayHaveRun() {
        return attempts.mayHaveRun() || inFlight.isPresent();
    }

    /** Ends the call with the status if it may have run, and with a refusal that gives the reason if it has not. */
    private void endUnserved(int status, String reason, long retryAfterMillis) {
        answer.endUnserved(mayHaveRun(), status, reason, retryAfterMillis);
        finish();
    }

    private long retryAfterMillis() {
        return context.retryPolicy().retryAfterMillis();
    }

    private void releaseSend() {
        inFlight.ifPresent(InFlightSend::end);
        inFlight = Optional.empty();
        connection = null;
    }

    private void abandonSend() {
        if (inFlight.isPresent()) {
            connection.abort();
            releaseSend();
        }
    }

    private void finish() {
        if (done) {
            return;
        }
        done = true;
        if (inFlight.isPresent()) {
            startRecorder.onMayHaveRun();
        }
        reportTakeUpWithoutEvent();
        releaseAll();
        suspicion.close();
        onDone.accept(this);
    }

    private void reportFirstEvent(StreamContinuity.FirstEvent event) {
        context.report().streamFirstEvent(this, event, eventFramer.firstEventId());
    }

    private void reportTakeUpWithoutEvent() {
        if (continuity.isTakenUpWithoutEvent()) {
            context.report().streamTakeUpWithoutEvent(this);
        }
    }

    private void releaseAll() {
        deadlineTimer.cancel();
        abandonSend();
        queued.close();
        prefill.release();
    }
}
