package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwinch.forwarding.CallProgress;
import org.dogwoodwinch.forwarding.ForwardingPlan;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.NextStep;
import org.dogwoodwinch.forwarding.Prompt;
import org.dogwoodwinch.forwarding.RouteKind;
import org.dogwoodwinch.forwarding.SendOutcome;
import org.dogwoodwinch.forwarding.ServiceEntry;
import org.dogwoodwinch.forwarding.ServiceRoute;
import org.dogwoodwinch.forwarding.TargetQuery;
import org.dogwoodwinch.time.Cancellable;

/**
 * The life of one call: sends it, judges what comes back, sends it again where that is safe, and gives the caller
 * exactly one answer. Used on one event loop alone.
 */
final class CallRelay implements AnswerSink, OpenCall {

    /** A plain answer up to this size is held until it is whole, so that a cut one can still become another answer. */
    private static final int HELD_BODY_BYTES = 262_144;

    /** Readers that could not be reached before the one that runs the call reads it: each costs a connection's time. */
    private static final int MOST_UNSENT_READINGS = 2;

    private enum State {
        SENDING,
        STREAMING,
        DONE
    }

    private final RelayParts parts;
    private final IncomingCall call;
    private final CallFacts facts;
    private final ServiceRoute route;
    private final ServiceEntry service;
    private final CallerSide caller;
    private final long limitMillis;
    private final long fingerprint;
    private final Runnable onDone;
    private final Set<String> triedIds = new HashSet<>();
    private State state = State.SENDING;
    private Cancellable limit;
    private ForwardingPlan plan;
    private TargetConnection connection;
    private Optional<SendAccount> account = Optional.empty();
    private ReceivedAnswer answer;
    private EventFramer events;
    private int runsCount;
    private int rejectionsCount;
    private int failedConnectsCount;
    private boolean readApart;
    private Optional<PromptReading> reading = Optional.empty();
    private Optional<PromptMemory> memory = Optional.empty();
    private Incarnation memoryReader;

    /**
     * Creates a relay that does nothing yet.
     *
     * @param parts what all relays share, not null
     * @param call the request, not null
     * @param facts what its headers state, with a request id, not null
     * @param route its route, not null
     * @param service the service chosen for it, not null
     * @param caller gets the answer, not null
     * @param onDone told once when the call has ended in any way, not null
     */
    CallRelay(
            RelayParts parts,
            IncomingCall call,
            CallFacts facts,
            ServiceRoute route,
            ServiceEntry service,
            CallerSide caller,
            Runnable onDone) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.call = Objects.requireNonNull(call, "call");
        this.facts = Objects.requireNonNull(facts, "facts");
        this.route = Objects.requireNonNull(route, "route");
        this.service = Objects.requireNonNull(service, "service");
        this.caller = Objects.requireNonNull(caller, "caller");
        this.onDone = Objects.requireNonNull(onDone, "onDone");
        this.limitMillis = call.arrivalMillis()
                + Math.min(route.timeoutMillis(), facts.deadlineMillis().orElse(Long.MAX_VALUE));
        this.events = new EventFramer(facts.lastEventId());
        this.fingerprint = Suspicions.fingerprint(call);
    }

    /** Begins. */
    void start() {
        parts.budget().countRequest(service.name(), nowMillis());
        // Once a call: seen again with each send, its own last part would pass for a session's.
        facts.prompt().ifPresent(parts.parts().sharedSegments()::recordPrompt);
        if (parts.suspicions().quarantined(fingerprint)) {
            parts.report().quarantined(this);
            OwnAnswers.refuse(
                    caller,
                    OwnAnswers.UNAVAILABLE,
                    "quarantined",
                    parts.retryPolicy().retryAfterMillis());
            state = State.DONE;
            onDone.run();
            return;
        }
        limit = parts.time().schedule(remainingMillis(), this::limitReached);
        attempt();
    }

    @Override
    public void callerGone() {
        if (state == State.DONE) {
            return;
        }
        parts.report().callerGone(this);
        done();
    }

    @Override
    public void callerReady() {
        if (connection != null) {
            connection.reading(true);
        }
    }

    String requestId() {
        return facts.requestId().orElse("");
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

    /** Where the call is, for whoever reads the logs. */
    String stage() {
        if (reading.isPresent()) {
            return "prompt_read_by_" + reading.get().reader().id();
        }
        if (account.isEmpty()) {
            return "not_sent";
        }
        return state == State.STREAMING ? "answering" : "sent";
    }

    /** How long the call has been with the target that has it now; -1 where none has it. */
    long sentMillis() {
        return account.map(SendAccount::ageMillis).orElse(-1L);
    }

    int sendsCount() {
        return runsCount + rejectionsCount;
    }

    long ageMillis() {
        return nowMillis() - call.arrivalMillis();
    }

    private long nowMillis() {
        return parts.time().monotonicMillis();
    }

    private long remainingMillis() {
        return limitMillis - nowMillis();
    }

    private long objectiveLeftMillis() {
        return route.latencyObjectiveMillis() <= 0
                ? Long.MAX_VALUE
                : call.arrivalMillis() + route.latencyObjectiveMillis() - nowMillis();
    }

    private TargetQuery query() {
        return query(triedIds);
    }

    private TargetQuery query(Set<String> avoided) {
        return new TargetQuery(
                service,
                facts.prompt(),
                route.priority(),
                objectiveLeftMillis(),
                route.maxEventGapMillis(),
                avoided,
                !readApart);
    }

    /** A suspect is kept away from other suspects; where it has no other place, it runs beside them. */
    private Optional<ForwardingPlan> choose() {
        Set<String> suspectsTargets = parts.suspicions().avoided(fingerprint);
        if (suspectsTargets.isEmpty()) {
            return parts.chooser().choose(query());
        }
        Set<String> avoided = new HashSet<>(triedIds);
        avoided.addAll(suspectsTargets);
        return parts.chooser().choose(query(avoided)).or(() -> parts.chooser().choose(query()));
    }

    private void attempt() {
        Optional<ForwardingPlan> chosen = choose();
        if (chosen.isEmpty()) {
            noTarget();
            return;
        }
        plan = chosen.get();
        if (plan.prefillTarget().isPresent()) {
            readPrompt(plan.prefillTarget().get());
        } else {
            connect();
        }
    }

    private void noTarget() {
        parts.report().noTarget(this);
        long roomMillis = parts.chooser().millisUntilCapacity(query());
        follow(new SendOutcome.NotSent("no_target"), parts.retryPolicy().giveUp(progress(), roomMillis));
    }

    /** Reading apart again would be one more arrival; the second time the target reads the prompt itself. */
    private void readPrompt(Incarnation reader) {
        readApart = true;
        PromptReading started = new PromptReading(
                parts, service, reader, facts.prompt().orElseThrow(), plan.prefillWork(), this::promptWasRead);
        reading = Optional.of(started);
        started.start(call.arrivalMillis(), () -> outbound(reader, true));
    }

    /** Where nothing came of it, the call has not run: a target that reads the prompt itself gets it. */
    private void promptWasRead(ReadingOutcome outcome) {
        Incarnation reader = reading.orElseThrow().reader();
        reading = Optional.empty();
        if (outcome instanceof ReadingOutcome.Read read) {
            memory = Optional.of(read.memory());
            memoryReader = reader;
            runElsewhere(reader);
        } else if (outcome instanceof ReadingOutcome.NotSent notSent) {
            // The reader never saw it: another one may read it as if it were the first.
            failedConnectsCount++;
            triedIds.add(reader.id());
            readApart = failedConnectsCount > MOST_UNSENT_READINGS;
            parts.report().promptNotRead(this, reader, notSent.reason(), new NextStep.SendAgain(), budgetLeft());
            attempt();
        } else if (outcome instanceof ReadingOutcome.NoMemory noMemory) {
            parts.report().promptNotRead(this, reader, noMemory.reason(), new NextStep.SendAgain(), budgetLeft());
            attempt();
        } else {
            readingFailed(reader, ((ReadingOutcome.Failed) outcome).reason());
        }
    }

    private void runElsewhere(Incarnation reader) {
        Optional<Incarnation> runner = parts.chooser().chooseDecodeTarget(query(), reader);
        if (runner.isEmpty()) {
            noTarget();
            return;
        }
        plan = new ForwardingPlan(
                runner.get(), Optional.empty(), plan.prefillWork().withoutPrefill());
        connect();
    }

    /**
     * An engine that rejects a reading or breaks it off got an arrival: what follows is a repeat, and asks for it.
     *
     * <p>Failure: readers break off, each of their calls goes on to be run, and no quota holds that back. The service gets
     * twice its calls just when a part of it is broken.
     */
    private void readingFailed(Incarnation reader, String reason) {
        rejectionsCount++;
        triedIds.add(reader.id());
        SendOutcome outcome = new SendOutcome.NotPrefilled(reason);
        NextStep step = parts.retryPolicy().nextStep(outcome, progress(), this::takeRepeat);
        parts.report().promptNotRead(this, reader, reason, step, budgetLeft());
        follow(outcome, step);
    }

    private void connect() {
        parts.connections().take(plan.target(), parts.connectionsPerTarget(service), new TargetConnections.Taker() {
            @Override
            public void took(TargetConnection taken) {
                parts.onceCallersAreHeard(call.arrivalMillis(), () -> send(taken));
            }

            @Override
            public void failed(String reason) {
                failedConnectsCount++;
                triedIds.add(plan.target().id());
                ended(new SendOutcome.NotSent(reason));
            }
        });
    }

    private void send(TargetConnection taken) {
        if (state == State.DONE) {
            parts.connections().giveBack(taken);
            return;
        }
        if (remainingMillis() <= 0) {
            parts.connections().giveBack(taken);
            limitReached();
            return;
        }
        if (!parts.chooser().isCurrent(plan.target())) {
            parts.connections().giveBack(taken);
            parts.report().leftBeforeSend(requestId(), plan.target());
            chooseAgain();
            return;
        }
        connection = taken;
        triedIds.add(plan.target().id());
        answer = null;
        Optional<Prompt> unread = memory.isPresent() ? Optional.empty() : facts.prompt();
        SendAccount opened = SendAccount.begin(parts, plan.target(), unread, plan.prefillWork());
        account = Optional.of(opened);
        parts.report().sent(requestId(), plan.target(), plan.prefillWork(), opened.aheadTokens(), purpose());
        parts.suspicions().sending(fingerprint, requestId(), plan.target().id());
        OutboundCall outbound = outbound(plan.target(), false);
        // A handle can be taken once.
        memory = Optional.empty();
        taken.send(outbound, this);
    }

    /** Nothing was sent: no quota is asked. */
    private void chooseAgain() {
        if (memory.isPresent()) {
            runElsewhere(memoryReader);
        } else {
            attempt();
        }
    }

    private SendPurpose purpose() {
        return sendsCount() > 0 ? SendPurpose.REPEAT : SendPurpose.RUN;
    }

    private OutboundCall outbound(Incarnation target, boolean prefillOnly) {
        SendFacts sending = new SendFacts(
                target,
                Math.max(1, remainingMillis()),
                facts.prompt().map(_prompt -> plan.prefillWork().level()),
                prefillOnly,
                memory,
                plan.prefillWork().cacheSource(),
                events.lastEventId());
        HttpHeaders headers = parts.callHeaders().forSend(call.headers(), sending);
        return new OutboundCall(requestId(), call.method(), call.uri(), headers, call.body(), call.framed());
    }

    @Override
    public void head(AnswerFacts answerFacts, HttpHeaders headers) {
        answer = new ReceivedAnswer(answerFacts, headers);
        account.ifPresent(opened -> opened.answered(answerFacts));
    }

    @Override
    public void body(ByteBuf piece) {
        if (state == State.DONE) {
            return;
        }
        if (!answer.success()) {
            holdFailure(piece);
            return;
        }
        account.ifPresent(SendAccount::promptRead);
        if (route.kind() == RouteKind.STREAM) {
            stream(piece);
        } else if (state == State.STREAMING) {
            relay(piece.retain());
        } else if (answer.hold(piece) > HELD_BODY_BYTES) {
            beginAnswer();
            relay(parts.copy(answer.takeHeld()));
        }
    }

    private void holdFailure(ByteBuf piece) {
        if (answer.hold(piece) > HELD_BODY_BYTES) {
            abandonSend();
            ended(new SendOutcome.Unknown("failure_too_long"));
        }
    }

    private void stream(ByteBuf piece) {
        if (!route.resumable()) {
            beginAnswer();
            relay(piece.retain());
            return;
        }
        // What may be followed by the rest of another run must end with a whole event.
        byte[] whole = events.take(piece);
        if (whole.length > 0) {
            beginAnswer();
            relay(parts.copy(whole));
        }
    }

    private void beginAnswer() {
        if (state == State.SENDING) {
            state = State.STREAMING;
            parts.report().firstByte(this);
            caller.begin(answer.status(), parts.callHeaders().forCaller(answer.headers()));
        }
    }

    private void relay(ByteBuf piece) {
        caller.piece(piece);
        if (!caller.ready()) {
            connection.reading(false);
        }
    }

    @Override
    public void ended() {
        parts.answered(plan.target().id(), answer.misdirected());
        sendEnded();
        if (state == State.DONE) {
            return;
        }
        if (answer.success()) {
            succeeded();
        } else {
            parts.suspicions().ended(fingerprint, requestId(), false);
            ended(answer.failure());
        }
    }

    private void succeeded() {
        if (route.kind() == RouteKind.STREAM && route.resumable() && events.partial()) {
            // An orderly end in the midst of an event: the rest of the event is missing.
            ended(new SendOutcome.Unknown("cut_event"));
            return;
        }
        parts.suspicions().ended(fingerprint, requestId(), true);
        parts.report().succeeded(this);
        if (state == State.STREAMING) {
            caller.complete();
            done();
        } else {
            relayWhole();
        }
    }

    @Override
    public void lost(String reason, boolean brokenOff) {
        sendEnded();
        if (brokenOff) {
            parts.brokenOff(plan.target().id());
        }
        if (state != State.DONE) {
            parts.suspicions().lost(fingerprint, requestId(), plan.target().id());
            ended(new SendOutcome.Unknown(reason));
        }
    }

    private void ended(SendOutcome outcome) {
        if (state == State.DONE) {
            return;
        }
        if (outcome instanceof SendOutcome.Rejected) {
            rejectionsCount++;
        } else if (!(outcome instanceof SendOutcome.NotSent)) {
            runsCount++;
        }
        events.dropPartial();
        NextStep step = parts.retryPolicy().nextStep(outcome, progress(), this::takeRepeat);
        parts.report().sendFailed(this, outcome, step, budgetLeft());
        follow(outcome, step);
    }

    private boolean takeRepeat() {
        boolean taken = parts.budget().tryTakeRetry(service.name(), nowMillis());
        parts.report().repeat(service.name(), taken ? RelayReport.Repeat.TAKEN : RelayReport.Repeat.NOT_GRANTED);
        return taken;
    }

    private double budgetLeft() {
        return parts.budget().remaining(service.name(), nowMillis());
    }

    private CallProgress progress() {
        return new CallProgress(
                route.isIdempotent(),
                runsCount,
                rejectionsCount,
                failedConnectsCount,
                route.maxAttemptsCount(),
                remainingMillis());
    }

    private void follow(SendOutcome outcome, NextStep step) {
        if (step instanceof NextStep.SendAgain) {
            attempt();
        } else if (state == State.STREAMING) {
            caller.breakOff();
            done();
        } else if (step instanceof NextStep.Refuse refuse) {
            OwnAnswers.refuse(caller, OwnAnswers.UNAVAILABLE, "not run", refuse.retryAfterMillis());
            done();
        } else if (step instanceof NextStep.RelayFailure && outcome instanceof SendOutcome.RanAndFailed) {
            relayWhole();
        } else {
            OwnAnswers.write(caller, OwnAnswers.BAD_GATEWAY, "may have run");
            done();
        }
    }

    private void relayWhole() {
        caller.answer(answer.status(), parts.callHeaders().forCaller(answer.headers()), answer.body());
        done();
    }

    private void limitReached() {
        if (state == State.DONE) {
            return;
        }
        boolean unknown = runsCount > 0 || account.isPresent();
        parts.report().limitReached(this, unknown);
        if (state == State.STREAMING) {
            caller.breakOff();
        } else if (unknown) {
            OwnAnswers.write(caller, OwnAnswers.GATEWAY_TIMEOUT, "may have run");
        } else {
            OwnAnswers.refuse(
                    caller,
                    OwnAnswers.UNAVAILABLE,
                    "not run",
                    parts.retryPolicy().retryAfterMillis());
        }
        done();
    }

    private void sendEnded() {
        account.ifPresent(SendAccount::end);
        account = Optional.empty();
        connection = null;
    }

    private void abandonSend() {
        if (account.isPresent()) {
            connection.abort();
            sendEnded();
        }
    }

    private void done() {
        if (state == State.DONE) {
            return;
        }
        state = State.DONE;
        limit.cancel();
        abandonSend();
        reading.ifPresent(PromptReading::cancel);
        // Memory that nobody takes would be held until it lapses.
        memory.ifPresent(untaken -> parts.control().release(memoryReader, untaken));
        onDone.run();
    }
}
