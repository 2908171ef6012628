package org.dogwoodwinch.relay;

import io.netty.channel.Channel;
import java.util.Objects;
import org.dogwoodwinch.forwarding.CallerLimits;
import org.dogwoodwinch.time.TimeSource;

/**
 * Handles the calls that other instances pass on to this one. They are handled like those of this instance's own
 * callers, but for one difference: they are never passed on again.
 */
public final class TakenOverCalls implements RequestHandler {

    private final ForwardingService service;
    private final TimeSource time;

    /**
     * Creates a handler.
     *
     * @param service handles the calls, not null
     * @param time clock and timers of the event loop, not null
     */
    public TakenOverCalls(ForwardingService service, TimeSource time) {
        this.service = Objects.requireNonNull(service, "service");
        this.time = Objects.requireNonNull(time, "time");
    }

    /**
     * Begins to read calls from a connection of another instance.
     *
     * @param channel the channel of the connection, which has no other handlers, not null
     */
    public void accept(Channel channel) {
        CallerPipeline.install(channel, this, time);
    }

    @Override
    public CallerLimits limits() {
        return service.limits();
    }

    @Override
    public boolean draining() {
        return service.draining();
    }

    @Override
    public BodyMemory bodyMemory() {
        return service.bodyMemory();
    }

    @Override
    public ActiveCall handle(IncomingCall call, CallerResponse caller, Runnable onDone) {
        return service.takeOver(call, caller, onDone);
    }

    @Override
    public void recordRefusal(int status, String reason) {
        service.recordRefusal(status, reason);
    }

    @Override
    public void recordUnanswered(UnansweredRequest ended) {
        service.recordUnanswered(ended);
    }
}
