package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.ApiKey;
import org.dogwoodwinch.forwarding.CallOwner;
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
import org.dogwoodwinch.forwarding.TargetQuery;
import org.dogwoodwinch.time.Cancellable;

/**
 * Forwards one call: sends it to a target, evaluates the response, retries where that is safe, and gives the caller
 * exactly one response. Confined to one event loop.
 */
final class CallRelay implements ResponseSink, ActiveCall {

    /**
     * Responses without streaming up to this size are buffered until they are complete, so that a truncated one can
     * still be replaced by another response.
     */
    private static final int MAX_BUFFERED_BODY_BYTES = 262_144;

    private enum State {
        SENDING,
        STREAMING,
        DONE
    }

    private final RelayContext context;
    private final IncomingCall call;
    private final CallAttributes attributes;
    private final Optional<CallOwner> owner;
    private final ServiceRoute route;
    private final ServiceEntry service;
    private final CallerResponse caller;
    private final long deadlineMillis;
    private final CallSuspicion suspicion;
    private final QueuedCall queued;
    private final Optional<ApiKey> key;
    private final boolean takenOver;
    private final Consumer<CallRelay> onDone;
    private final CallStartRecorder startRecorder;
    private final StreamContinuity continuity;
    private final CallAttempts attempts = new CallAttempts();
    private State state = State.SENDING;
    private Cancellable deadlineTimer;
    private ForwardingPlan plan;
    private TargetConnection connection;
    private Optional<InFlightSend> inFlight = Optional.empty();
    private TargetResponse response;
    private EventFramer eventFramer;
    private Optional<RemotePrefill> remotePrefill = Optional.empty();
    private Optional<KvCacheHandle> cacheHandle = Optional.empty();
    private Incarnation cacheHolder;
    private ActiveCall successor = ActiveCall.NONE;

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
        this.key = routed.key();
        this.takenOver = routed.takenOver();
        this.attributes = routed.attributes();
        this.owner = routed.owner();
        this.route = routed.route();
        this.service = routed.service();
        this.caller = Objects.requireNonNull(caller, "caller");
        this.onDone = Objects.requireNonNull(onDone, "onDone");
        this.deadlineMillis = call.deadlineMillis(route, attributes);
        this.eventFramer = new EventFramer(attributes.lastEventId());
        this.suspicion = CallSuspicion.of(context, routed);
        this.queued = context.queue().placeOf(routed, deadlineMillis, suspicion.fingerprint());
        this.continuity = new StreamContinuity(context.streamOrigins(), routed);
        this.startRecorder = new CallStartRecorder(context.callStarts(), owner, route.kind(), context.time());
    }

    /** Sends the call, or refuses it at once if it or a segment of its prompt crashes targets. */
    void start() {
        context.budget().countRequest(service.name(), nowMillis());
        // Recorded once per call: if each send recorded it, the call's own last segment would look like a session's.
        attributes.prompt().ifPresent(context.cacheIndex().sharedSegments()::recordPrompt);
        deadlineTimer = context.time().schedule(remainingMillis(), this::handleDeadline);
        suspicion.admit(refusal -> {
            if (refusal.isPresent()) {
                refuse(refusal.get());
            } else if (continuity.takesUpStream()) {
                continuity.findOrigin(this::handleOrigin);
            } else {
                queued.awaitCapacity(this::chooseAndSend, this::refuseQueued);
            }
        });
    }

    /** Ends the call because it must not be written to a target. */
    private void refuse(CallSuspicion.Refusal refusal) {
        context.report().heldBack(this, refusal);
        if (state == State.STREAMING) {
            caller.abortResponse();
        } else if (attempts.mayHaveRun()) {
            LocalResponses.sendError(caller, LocalResponses.BAD_GATEWAY, "may have run");
        } else {
            LocalResponses.sendRetryable(
                    caller, LocalResponses.UNAVAILABLE, refusal.reason(), refusal.retryAfterMillis());
        }
        finish();
    }

    /** Ends the call because it cannot be served before its caller leaves. */
    private void refuseQueued(long retryAfterMillis) {
        LocalResponses.sendRetryable(
                caller, LocalResponses.UNAVAILABLE, "not run: no capacity in time", retryAfterMillis);
        finish();
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

    /**
     * Takes up a caller's stream, or refuses that where it is not known which software version began it. The call has
     * not run then.
     */
    private void handleOrigin(StreamOrigin origin) {
        if (state == State.DONE) {
            return;
        }
        context.report().streamTakenUp(this, attributes.resumes().orElse(""), origin);
        if (origin instanceof StreamOrigin.Known) {
            chooseAndSend();
        } else {
            LocalResponses.sendRetryable(
                    caller,
                    LocalResponses.UNAVAILABLE,
                    "not run: the begin of the stream is not known",
                    context.retryPolicy().retryAfterMillis());
            finish();
        }
    }

    @Override
    public void onCallerClosed() {
        successor.onCallerClosed();
        if (state == State.DONE) {
            return;
        }
        context.report().callerDisconnected(this);
        finish();
    }

    @Override
    public void onCallerWritable() {
        successor.onCallerWritable();
        if (connection != null) {
            connection.setReading(true);
        }
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

    /** Returns the current stage of the call for log lines. */
    String stage() {
        if (remotePrefill.isPresent()) {
            return "prompt_read_by_" + remotePrefill.get().engine().id();
        }
        if (inFlight.isEmpty()) {
            return "not_sent";
        }
        return state == State.STREAMING ? "answering" : "sent";
    }

    /** Returns the time since the call was sent to its current target, in milliseconds; -1 if no send is under way. */
    long sentMillis() {
        return inFlight.map(InFlightSend::ageMillis).orElse(-1L);
    }

    int sendsCount() {
        return attempts.sendsCount();
    }

    long ageMillis() {
        return nowMillis() - call.arrivalMillis();
    }

    private long nowMillis() {
        return context.time().monotonicMillis();
    }

    private long remainingMillis() {
        return deadlineMillis - nowMillis();
    }

    private long remainingObjectiveMillis() {
        return route.latencyObjectiveMillis() <= 0
                ? Long.MAX_VALUE
                : call.arrivalMillis() + route.latencyObjectiveMillis() - nowMillis();
    }

    private TargetQuery query() {
        return query(attempts.triedIds());
    }

    private TargetQuery query(Set<String> avoided) {
        return new TargetQuery(
                service,
                attributes.prompt(),
                owner.map(known -> known.priorityOn(route)).orElseGet(route::priority),
                remainingObjectiveMillis(),
                route.maxEventGapMillis(),
                avoided,
                attempts.mayPrefillRemotely(),
                continuity.softwareVersion());
    }

    /**
     * Chooses a target. A call suspected of crashing targets avoids targets that run other suspects, unless there is no
     * other target.
     */
    private Optional<ForwardingPlan> choose() {
        Set<String> suspectTargets = suspicion.targetsToAvoid();
        if (suspectTargets.isEmpty()) {
            return context.chooser().choose(query());
        }
        Set<String> avoided = new HashSet<>(attempts.triedIds());
        avoided.addAll(suspectTargets);
        return context.chooser()
                .choose(query(avoided))
                .or(() -> context.chooser().choose(query()));
    }

    private void chooseAndSend() {
        if (refuseIfHeldBack() || passOn()) {
            return;
        }
        Optional<ForwardingPlan> chosen = choose();
        if (chosen.isEmpty()) {
            handleNoTarget();
            return;
        }
        plan = chosen.get();
        if (plan.prefillTarget().isPresent()) {
            startRemotePrefill(plan.prefillTarget().get());
        } else {
            connect();
        }
    }

    private void handleNoTarget() {
        context.report().noTarget(this);
        execute(new SendOutcome.NotSent("no_target"), context.retryPolicy().giveUp(progress()));
    }

    /**
     * Prefills the prompt on a separate engine. Done once per call, since each remote prefill is one more request to a
     * target: the next attempt lets the target that runs the call prefill it.
     */
    private void startRemotePrefill(Incarnation prefillTarget) {
        attempts.recordRemotePrefill();
        RemotePrefill started = new RemotePrefill(
                context,
                service,
                prefillTarget,
                attributes.prompt().orElseThrow(),
                plan.prefillWork(),
                () -> suspicion.refusal().isEmpty(),
                this::handlePrefillOutcome);
        remotePrefill = Optional.of(started);
        started.start(call.arrivalMillis(), () -> outbound(prefillTarget, true));
    }

    /**
     * Continues after a remote prefill. If it gave no usable cache handle, the call has not run and is sent to a target
     * that also prefills the prompt.
     */
    private void handlePrefillOutcome(PrefillOutcome outcome) {
        Incarnation prefillTarget = remotePrefill.orElseThrow().engine();
        remotePrefill = Optional.empty();
        if (outcome instanceof PrefillOutcome.Completed read) {
            cacheHandle = Optional.of(read.cacheHandle());
            cacheHolder = prefillTarget;
            sendAfterPrefill(prefillTarget);
        } else if (outcome instanceof PrefillOutcome.NotSent notSent) {
            attempts.recordUnsentPrefill(prefillTarget.id());
            context.report()
                    .prefillFailed(this, prefillTarget, notSent.reason(), new NextStep.SendAgain(), remainingRetries());
            chooseAndSend();
        } else if (outcome instanceof PrefillOutcome.NoCacheHandle noHandle) {
            context.report()
                    .prefillFailed(
                            this, prefillTarget, noHandle.reason(), new NextStep.SendAgain(), remainingRetries());
            chooseAndSend();
        } else {
            PrefillOutcome.Failed failed = (PrefillOutcome.Failed) outcome;
            if (failed.connectionLost()) {
                suspicion.recordPrefillLost(prefillTarget);
            }
            handlePrefillFailure(prefillTarget, failed.reason());
        }
    }

    private void sendAfterPrefill(Incarnation prefillTarget) {
        if (refuseIfHeldBack()) {
            return;
        }
        Optional<Incarnation> runner = context.chooser().chooseDecodeTarget(query(), prefillTarget);
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
        attempts.recordNotRun();
        attempts.recordSent(prefillTarget.id());
        SendOutcome outcome = new SendOutcome.NotPrefilled(reason);
        NextStep step = context.retryPolicy().nextStep(outcome, progress(), () -> tryTakeRetry(false));
        context.report().prefillFailed(this, prefillTarget, reason, step, remainingRetries());
        execute(outcome, step);
    }

    private void connect() {
        context.connections()
                .acquire(
                        plan.target(),
                        context.connectionsPerTarget(service),
                        new TargetConnectionPool.AcquireCallback() {
                            @Override
                            public void acquired(TargetConnection taken) {
                                context.afterCallerReads(call.arrivalMillis(), () -> send(taken));
                            }

                            @Override
                            public void notAcquired(String reason) {
                                attempts.recordUnsent(plan.target().id());
                                onEnd(new SendOutcome.NotSent(reason));
                            }
                        });
    }

    private void send(TargetConnection acquired) {
        if (state == State.DONE) {
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
        SendCheck check = context.chooser().checkSend(plan.target());
        if (check != SendCheck.ALLOWED) {
            context.connections().release(acquired);
            context.report().keptFromTarget(requestId(), plan.target(), check);
            chooseAgain();
            return;
        }
        connection = acquired;
        startRecorder.onSent();
        attempts.recordSent(plan.target().id());
        response = null;
        Optional<Prompt> promptToPrefill = cacheHandle.isPresent() ? Optional.empty() : attributes.prompt();
        InFlightSend started = InFlightSend.start(context, plan.target(), promptToPrefill, plan.prefillWork());
        inFlight = Optional.of(started);
        context.report().sent(requestId(), plan.target(), plan.prefillWork(), started.aheadTokens(), sendPurpose());
        suspicion.recordSent(plan.target());
        OutboundCall outbound = outbound(plan.target(), false);
        // A cache handle can be used only once.
        cacheHandle = Optional.empty();
        acquired.send(outbound, this);
    }

    /** Chooses another target. Nothing was sent, so this takes nothing from the retry budget. */
    private void chooseAgain() {
        if (cacheHandle.isPresent()) {
            sendAfterPrefill(cacheHolder);
        } else {
            chooseAndSend();
        }
    }

    private SendPurpose sendPurpose() {
        return sendsCount() > 0 ? SendPurpose.REPEAT : SendPurpose.RUN;
    }

    private OutboundCall outbound(Incarnation target, boolean prefillOnly) {
        queued.recordSent();
        SendAttributes sending = new SendAttributes(
                target,
                Math.max(1, remainingMillis()),
                attributes.prompt().map(_prompt -> plan.prefillWork().level()),
                prefillOnly,
                cacheHandle,
                plan.prefillWork().cacheSource().filter(context.chooser()::isCurrent),
                owner.map(CallOwner::name),
                eventFramer.lastEventId());
        HttpHeaders headers = context.callHeaders().targetHeaders(call.headers(), sending);
        return new OutboundCall(requestId(), call.method(), call.uri(), headers, call.body(), call.framed());
    }

    @Override
    public void onHead(ResponseAttributes responseAttributes, HttpHeaders headers) {
        response = new TargetResponse(responseAttributes, headers);
        inFlight.ifPresent(started -> started.recordResponseHead(responseAttributes));
    }

    @Override
    public void onBody(ByteBuf chunk) {
        if (state == State.DONE) {
            return;
        }
        if (!response.isSuccess()) {
            bufferFailure(chunk);
            return;
        }
        inFlight.ifPresent(InFlightSend::recordPrefillDone);
        if (route.kind() == RouteKind.STREAM) {
            startRecorder.onStreamEvent();
            relayEvents(chunk);
        } else if (state == State.STREAMING) {
            relayBody(chunk.retain());
        } else if (response.buffer(chunk) > MAX_BUFFERED_BODY_BYTES) {
            beginCallerResponse();
            relayBody(context.copy(response.takeBuffered()));
        }
    }

    private void bufferFailure(ByteBuf chunk) {
        if (response.buffer(chunk) > MAX_BUFFERED_BODY_BYTES) {
            abandonSend();
            onEnd(new SendOutcome.Unknown("failure_too_long"));
        }
    }

    private void relayEvents(ByteBuf chunk) {
        byte[] whole = eventFramer.append(chunk);
        if (eventFramer.eventsCount() > 0) {
            suspicion.recordBegin();
            continuity.onEvents(plan.target());
        }
        if (whole.length > 0) {
            beginCallerResponse();
            relayBody(context.copy(whole));
        }
        if (eventFramer.hasRepeatedEvent() || eventFramer.isEventTooLong()) {
            abandonSend();
            onEnd(new SendOutcome.Unknown(eventFramer.hasRepeatedEvent() ? "repeated_event" : "event_too_long"));
        }
    }

    private void beginCallerResponse() {
        if (state == State.SENDING) {
            state = State.STREAMING;
            context.report().firstByte(this);
            queued.recordFirstEvent();
            caller.beginResponse(response.status(), context.callHeaders().callerHeaders(response.headers()));
        }
    }

    private void relayBody(ByteBuf chunk) {
        caller.writeBody(chunk);
        if (!caller.isWritable()) {
            connection.setReading(false);
        }
    }

    @Override
    public void onEnd(ResponseEnd end) {
        context.recordResponse(plan.target().id(), response.isMisdirected());
        releaseSend();
        if (state == State.DONE) {
            return;
        }
        if (response.isSuccess()) {
            handleSuccess(end);
        } else {
            suspicion.recordFailure();
            onEnd(response.failure());
        }
    }

    private void handleSuccess(ResponseEnd end) {
        ResponseVerdict verdict = judge(end);
        context.report().responseEnded(this, end, verdict, eventFramer.eventsCount());
        if (verdict != ResponseVerdict.COMPLETE) {
            recordLostCall();
            onEnd(new SendOutcome.Unknown(verdict.reason()));
            return;
        }
        relayTrailingComments();
        startRecorder.onMayHaveRun();
        suspicion.recordComplete();
        context.report().succeeded(this);
        queued.recordCompletion();
        if (state == State.STREAMING) {
            caller.endResponse();
            finish();
        } else {
            relayBuffered();
        }
    }

    private ResponseVerdict judge(ResponseEnd end) {
        boolean hasEvents = route.kind() == RouteKind.STREAM && !call.method().equals(HttpMethod.HEAD);
        // The platform states that a plain body without a length and without chunks is complete at an orderly close.
        return hasEvents
                ? ResponseVerdict.ofEvents(end, eventFramer.isInsideEvent(), eventFramer.eventsCount())
                : ResponseVerdict.COMPLETE;
    }

    private void relayTrailingComments() {
        byte[] trailing = eventFramer.takeTrailing();
        if (trailing.length > 0) {
            beginCallerResponse();
            caller.writeBody(context.copy(trailing));
        }
    }

    @Override
    public void onLost(String reason, boolean connectionAborted) {
        releaseSend();
        context.recordLoss(plan.target().id(), connectionAborted);
        if (state != State.DONE) {
            recordLostCall();
            onEnd(new SendOutcome.Unknown(reason));
        }
    }

    private void recordLostCall() {
        if (suspicion.recordLost(plan.target())) {
            context.crashProbe().probe(plan.target());
        }
    }

    private void onEnd(SendOutcome outcome) {
        if (state == State.DONE) {
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
                .nextStep(outcome, progress(), () -> tryTakeRetry(outcome instanceof SendOutcome.Unknown));
        context.report().sendFailed(this, outcome, step, remainingRetries());
        execute(outcome, step);
    }

    /**
     * Takes a retry from the budget, if the call may be sent again.
     *
     * @param isLost whether the call was lost at a target that may have begun to run it
     */
    private boolean tryTakeRetry(boolean isLost) {
        if (!suspicion.mayBeSentAgain(isLost)) {
            return false;
        }
        boolean taken = context.budget().tryTakeRetry(service.name(), nowMillis());
        context.report()
                .retryDecided(
                        service.name(),
                        taken ? RelayReport.RetryDecision.TAKEN : RelayReport.RetryDecision.NOT_GRANTED);
        return taken;
    }

    private double remainingRetries() {
        return context.budget().remaining(service.name(), nowMillis());
    }

    private CallProgress progress() {
        return attempts.toProgress(route, remainingMillis(), context.chooser().millisUntilCapacity(query()));
    }

    private void execute(SendOutcome outcome, NextStep step) {
        if (step instanceof NextStep.SendAgain) {
            chooseAndSend();
        } else if (step instanceof NextStep.Refuse && passOn()) {
            return;
        } else if (state == State.STREAMING) {
            caller.abortResponse();
            finish();
        } else if (step instanceof NextStep.Refuse refuse) {
            LocalResponses.sendRetryable(caller, LocalResponses.UNAVAILABLE, "not run", refuse.retryAfterMillis());
            finish();
        } else if (step instanceof NextStep.RelayFailure && outcome instanceof SendOutcome.RanAndFailed) {
            relayBuffered();
        } else {
            LocalResponses.sendError(caller, LocalResponses.BAD_GATEWAY, "may have run");
            finish();
        }
    }

    /**
     * Passes the call on because this instance is cut off from all targets and the call waits for one from which nothing
     * arrives. A target may have received it: a call that must not run twice goes on waiting, and for any other one
     * that was written this is a retry.
     */
    void passOnWaiting() {
        boolean isWritten = inFlight.isPresent() || remotePrefill.isPresent();
        boolean mayRunTwice = inFlight.isEmpty() || route.isIdempotent();
        if (!mayBePassedOn() || response != null || !mayRunTwice || (isWritten && !tryTakeRetry(false))) {
            return;
        }
        if (inFlight.isPresent()) {
            attempts.recordMayHaveRun();
            abandonSend();
        }
        passOn();
    }

    private boolean mayBePassedOn() {
        return state == State.SENDING && !takenOver && context.neighbours().arePassedOn();
    }

    /**
     * Passes the call on to another instance if this one is cut off from all targets and another one is not. Nothing of
     * the response may have been sent to the caller.
     *
     * @return whether it was passed on, which ends the call here
     */
    private boolean passOn() {
        if (!mayBePassedOn()) {
            return false;
        }
        state = State.DONE;
        releaseAll();
        suspicion.recordFailure();
        suspicion.close();
        successor = context.neighbours()
                .passOn(
                        new PassedOnCall(call, key, attributes, route, attempts.mayHaveRun()),
                        caller,
                        context.retryPolicy().retryAfterMillis(),
                        () -> onDone.accept(this));
        return true;
    }

    private void relayBuffered() {
        caller.sendResponse(
                response.status(), context.callHeaders().callerHeaders(response.headers()), response.body());
        finish();
    }

    private void handleDeadline() {
        if (state == State.DONE) {
            return;
        }
        boolean mayHaveRun = attempts.mayHaveRun() || inFlight.isPresent();
        context.report().deadlineExceeded(this, mayHaveRun);
        if (state == State.STREAMING) {
            caller.abortResponse();
        } else if (mayHaveRun) {
            LocalResponses.sendError(caller, LocalResponses.GATEWAY_TIMEOUT, "may have run");
        } else {
            LocalResponses.sendRetryable(
                    caller,
                    LocalResponses.UNAVAILABLE,
                    "not run",
                    context.retryPolicy().retryAfterMillis());
        }
        finish();
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
        if (state == State.DONE) {
            return;
        }
        state = State.DONE;
        if (inFlight.isPresent()) {
            startRecorder.onMayHaveRun();
        }
        releaseAll();
        suspicion.close();
        onDone.accept(this);
    }

    private void releaseAll() {
        deadlineTimer.cancel();
        abandonSend();
        queued.close();
        remotePrefill.ifPresent(RemotePrefill::cancel);
        // A KV cache that is never fetched would stay allocated on the prefill target until it expires.
        cacheHandle.ifPresent(unused -> context.control().releaseCache(cacheHolder, unused));
    }
}
