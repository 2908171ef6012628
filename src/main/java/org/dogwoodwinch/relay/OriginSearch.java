package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * A call that takes up a stream, until it is known which service and software version began the stream. Only then is the
 * call routed. Confined to one event loop.
 *
 * <p>Failure: a configuration moves the weights of a route while streams run. A service that is chosen by the weights now in
 * force is not the one that began them, and their callers are refused although their service is still allowed.
 */
final class OriginSearch implements ActiveCall {

    private final IdentifiedCall call;
    private final CallerResponse caller;
    private final RelayContext context;
    private final Function<StreamOrigin.Known, ActiveCall> forward;
    private final Runnable onEnd;
    private final Runnable onDone;
    private ActiveCall forwarded = ActiveCall.NONE;
    private boolean hasEnded;

    /**
     * Creates a search that asks nothing before {@link #start}.
     *
     * @param call the call, not null
     * @param caller writes the response to the caller, not null
     * @param context the services that all relays share, not null
     * @param forward forwards the call to the service that began its stream, not null
     * @param onEnd run exactly once, when the search has ended in any way, before the call goes on, not null
     * @param onDone run exactly once if the call ends without being forwarded, not null
     */
    OriginSearch(
            IdentifiedCall call,
            CallerResponse caller,
            RelayContext context,
            Function<StreamOrigin.Known, ActiveCall> forward,
            Runnable onEnd,
            Runnable onDone) {
        this.call = Objects.requireNonNull(call, "call");
        this.caller = Objects.requireNonNull(caller, "caller");
        this.context = Objects.requireNonNull(context, "context");
        this.forward = Objects.requireNonNull(forward, "forward");
        this.onEnd = Objects.requireNonNull(onEnd, "onEnd");
        this.onDone = Objects.requireNonNull(onDone, "onDone");
    }

    /** Starts to search. */
    void start() {
        context.streamOrigins().find(call.takeUp(), this::onFound);
    }

    private void onFound(StreamOrigin origin) {
        if (hasEnded) {
            return;
        }
        if (origin instanceof StreamOrigin.Known known) {
            end();
            forwarded = forward.apply(known);
        } else {
            context.report().streamNotTakenUp(call, ((StreamOrigin.Unknown) origin).reason());
            refuse("not run: the begin of the stream is not known");
        }
    }

    /** Refuses the call, which has not run, since nothing was sent. */
    private void refuse(String reason) {
        end();
        LocalResponses.sendRetryable(
                caller,
                LocalResponses.UNAVAILABLE,
                reason,
                context.retryPolicy().retryAfterMillis());
        onDone.run();
    }

    private void end() {
        hasEnded = true;
        onEnd.run();
    }

    @Override
    public void onCallerClosed() {
        if (hasEnded) {
            forwarded.onCallerClosed();
            return;
        }
        context.report().callerDisconnected(call);
        end();
        onDone.run();
    }

    @Override
    public void onCallerWritable() {
        forwarded.onCallerWritable();
    }

    @Override
    public Optional<StoppedCall> onInstanceStop() {
        if (hasEnded) {
            return forwarded.onInstanceStop();
        }
        StoppedCall.Ending ending = call.takenOver() ? StoppedCall.Ending.NOT_TAKEN_OVER : StoppedCall.Ending.REFUSED;
        if (call.takenOver()) {
            end();
            LocalResponses.sendNotTakenOver(caller, LocalResponses.STOPPING);
            onDone.run();
        } else {
            refuse(CallRelay.NOT_RUN);
        }
        long ageMillis = context.time().monotonicMillis() - call.call().arrivalMillis();
        return Optional.of(new StoppedCall(call.requestId(), "not_sent", ending, ageMillis));
    }
}
