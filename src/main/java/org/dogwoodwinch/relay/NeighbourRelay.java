package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwinch.forwarding.Neighbour;
import org.dogwoodwinch.forwarding.RouteKind;
import org.dogwoodwinch.time.Cancellable;

/**
 * Passes one call on to another instance and gives the caller that instance's response unchanged. Confined to one event
 * loop.
 *
 * <p>The other instance has the whole decision about the call, so whatever it answers is final, unless it states that
 * it did not take the call over. Another instance is tried only then, if no byte of the call was written, or if the other
 * instance was lost with the call, the call may run twice and the retry budget of this instance allows it.
 */
final class NeighbourRelay implements ResponseSink, ActiveCall {

    /** Each attempt may cost the time of a connection attempt. */
    private static final int MAX_ATTEMPTS = 3;

    /** The other instance answers at the deadline that it was given, which is more precise than an answer from here. */
    private static final long DEADLINE_MARGIN_MILLIS = 50;

    private enum State {
        SENDING,
        STREAMING,
        DONE
    }

    private final NeighbourCalls neighbours;
    private final PassedOnCall call;
    private final CallerResponse caller;
    private final long retryAfterMillis;
    private final long deadlineMillis;
    private final Runnable onDone;
    private final Set<String> triedNames = new HashSet<>();
    private State state = State.SENDING;
    private Optional<Neighbour> neighbour = Optional.empty();
    private TargetConnection connection;
    private TargetResponse response;
    private Cancellable deadlineTimer;
    private boolean mayHaveRun;

    /** Whether the call may have run at a target or at an instance that was tried before the current one. */
    private boolean mayHaveRunBefore;

    private int possibleRunsCount;

    /**
     * Creates a relay that sends nothing before {@link #start}.
     *
     * @param neighbours the calls that are passed on, not null
     * @param call the call, not null
     * @param caller writes the response to the caller, not null
     * @param retryAfterMillis when a caller that is refused may come back
     * @param onDone run exactly once, when the call has ended in any way, not null
     */
    NeighbourRelay(
            NeighbourCalls neighbours,
            PassedOnCall call,
            CallerResponse caller,
            long retryAfterMillis,
            Runnable onDone) {
        this.neighbours = Objects.requireNonNull(neighbours, "neighbours");
        this.call = Objects.requireNonNull(call, "call");
        this.caller = Objects.requireNonNull(caller, "caller");
        this.retryAfterMillis = retryAfterMillis;
        this.onDone = Objects.requireNonNull(onDone, "onDone");
        this.deadlineMillis = call.deadlineMillis();
        this.mayHaveRun = call.mayHaveRun();
        this.mayHaveRunBefore = call.mayHaveRun();
        this.possibleRunsCount = call.mayHaveRun() ? 1 : 0;
    }

    /** Passes the call on, or refuses it if no instance can take it over. */
    void start() {
        deadlineTimer = neighbours.time().schedule(remainingMillis() + DEADLINE_MARGIN_MILLIS, this::handleDeadline);
        passOn();
    }

    private long remainingMillis() {
        return deadlineMillis - neighbours.time().monotonicMillis();
    }

    private void passOn() {
        Optional<Neighbour> chosen =
                triedNames.size() < MAX_ATTEMPTS ? neighbours.choose(triedNames) : Optional.empty();
        if (chosen.isEmpty() || remainingMillis() <= 0) {
            giveUp();
            return;
        }
        neighbour = chosen;
        triedNames.add(chosen.get().name());
        neighbours.recordBegin(call, chosen.get(), triedNames.size());
        neighbours.acquire(chosen.get(), call.requestId(), new TargetConnectionPool.AcquireCallback() {
            @Override
            public void acquired(TargetConnection acquired) {
                send(acquired);
            }

            @Override
            public void notAcquired(String reason) {
                if (state != State.DONE) {
                    endAttempt(reason);
                    passOn();
                }
            }
        });
    }

    private void send(TargetConnection acquired) {
        if (state == State.DONE) {
            neighbours.release(acquired);
            return;
        }
        connection = acquired;
        response = null;
        mayHaveRun = true;
        boolean counted = call.counted() || mayHaveRunBefore;
        acquired.send(neighbours.outbound(call, counted, Math.max(1, remainingMillis())), this);
    }

    @Override
    public void onHead(ResponseAttributes attributes, HttpHeaders headers) {
        response = new TargetResponse(attributes, headers);
        if (call.route().kind() == RouteKind.STREAM && attributes.isSuccess()) {
            begin();
        }
    }

    @Override
    public void onBody(ByteBuf chunk) {
        if (state == State.STREAMING) {
            relayBody(chunk.retain());
        } else if (state == State.SENDING && response.buffer(chunk) > ReceiveLimits.MAX_BUFFERED_BODY_BYTES) {
            begin();
            relayBody(Unpooled.wrappedBuffer(response.takeBuffered()));
        }
    }

    private void begin() {
        state = State.STREAMING;
        caller.beginResponse(response.status(), neighbours.callHeaders().callerHeaders(response.headers()));
    }

    private void relayBody(ByteBuf chunk) {
        caller.writeBody(chunk);
        if (!caller.isWritable()) {
            connection.setReading(false);
        }
    }

    @Override
    public void onEnd(ResponseEnd end) {
        if (end == ResponseEnd.CONNECTION) {
            // Instances always state a length or send chunks to each other.
            onLost("unframed", false);
            return;
        }
        connection = null;
        if (state == State.DONE) {
            return;
        }
        if (state == State.SENDING && LocalResponses.isNotTakenOver(response.headers())) {
            mayHaveRun = mayHaveRunBefore;
            endAttempt("not_taken_over");
            passOn();
            return;
        }
        if (state == State.STREAMING) {
            caller.endResponse();
        } else if (mayHaveRunBefore && LocalResponses.guaranteesNotRun(response.status())) {
            sendMayHaveRun(LocalResponses.BAD_GATEWAY);
        } else {
            caller.sendResponse(
                    response.status(), neighbours.callHeaders().callerHeaders(response.headers()), response.body());
        }
        finish("status_" + response.status());
    }

    @Override
    public void onLost(String reason, boolean _connectionAborted) {
        connection = null;
        if (state == State.STREAMING) {
            caller.abortResponse();
            finish(reason);
        } else if (state == State.SENDING) {
            mayHaveRunBefore = true;
            possibleRunsCount++;
            if (isAnotherRunAllowed()) {
                endAttempt(reason);
                passOn();
                return;
            }
            sendMayHaveRun(LocalResponses.BAD_GATEWAY);
            finish(reason);
        }
    }

    private boolean isAnotherRunAllowed() {
        return call.route().isIdempotent()
                && possibleRunsCount < call.route().maxAttemptsCount()
                && call.tryTakeRetry().getAsBoolean();
    }

    @Override
    public void onCallerClosed() {
        finish("caller_gone");
    }

    @Override
    public void onCallerWritable() {
        if (connection != null) {
            connection.setReading(true);
        }
    }

    @Override
    public Optional<StoppedCall> onInstanceStop() {
        if (state == State.DONE) {
            return Optional.empty();
        }
        StoppedCall stopped = new StoppedCall(
                call.requestId(), stage(), StoppedCall.Ending.of(state == State.STREAMING, mayHaveRun), ageMillis());
        endUnserved(LocalResponses.BAD_GATEWAY);
        finish("instance_stop");
        return Optional.of(stopped);
    }

    private String stage() {
        if (state == State.STREAMING) {
            return "passed_on_answering";
        }
        return connection == null ? "passed_on_not_sent" : "passed_on_sent";
    }

    /** Ends a call that no instance takes over. */
    private void giveUp() {
        neighbours.recordGivenUp(call.requestId(), ageMillis());
        if (mayHaveRunBefore) {
            sendMayHaveRun(LocalResponses.BAD_GATEWAY);
        } else {
            LocalResponses.sendRetryable(caller, LocalResponses.UNAVAILABLE, "not run", retryAfterMillis);
        }
        finish("given_up");
    }

    private void sendMayHaveRun(int status) {
        LocalResponses.sendError(caller, status, "may have run");
    }

    private void handleDeadline() {
        if (state == State.DONE) {
            return;
        }
        endUnserved(LocalResponses.GATEWAY_TIMEOUT);
        finish("deadline");
    }

    private void endUnserved(int status) {
        if (state == State.STREAMING) {
            caller.abortResponse();
        } else if (mayHaveRun) {
            sendMayHaveRun(status);
        } else {
            LocalResponses.sendRetryable(caller, LocalResponses.UNAVAILABLE, "not run", retryAfterMillis);
        }
    }

    /** Ends the attempt at the current instance. */
    private void endAttempt(String outcome) {
        neighbour.ifPresent(each -> neighbours.recordEnd(call.requestId(), each, outcome, ageMillis()));
        neighbour = Optional.empty();
    }

    private long ageMillis() {
        return neighbours.time().monotonicMillis() - call.call().arrivalMillis();
    }

    private void finish(String outcome) {
        if (state == State.DONE) {
            return;
        }
        state = State.DONE;
        deadlineTimer.cancel();
        endAttempt(outcome);
        if (connection != null) {
            // The other instance drops the call when its connection closes.
            connection.abort();
            connection = null;
        }
        onDone.run();
    }
}
