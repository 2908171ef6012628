package org.dogwoodwinch.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.Objects;
import org.dogwoodwinch.request.Refusal;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;

/**
 * Bounds how long a connection may be idle and how long a request may take to arrive.
 *
 * <p>A caller that sends one byte a minute would otherwise hold a connection and its buffers for ever; enough of them
 * use the listener up. The bound counts from the request's first byte, so trickling does not extend it. Runs on the
 * connection's event loop alone.
 */
final class CallerPace extends ChannelInboundHandlerAdapter {

    private final TimeSource time;
    private final HttpLimits limits;
    private Phase phase = Phase.IDLE;
    private Cancellable timer = () -> {};

    private enum Phase {
        IDLE,
        ARRIVING,
        ANSWERING
    }

    /**
     * Creates a handler for one connection.
     *
     * @param time runs the timers, not null
     * @param limits the bounds, not null
     */
    CallerPace(TimeSource time, HttpLimits limits) {
        this.time = Objects.requireNonNull(time, "time");
        this.limits = Objects.requireNonNull(limits, "limits");
    }

    /** The request is whole; the answer's own timers watch from here on. */
    void requestArrived() {
        enter(Phase.ANSWERING);
    }

    /**
     * The answer is out; the connection waits for the next request.
     *
     * @param context this handler's context, not null
     */
    void answered(ChannelHandlerContext context) {
        becomeIdle(context);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        becomeIdle(context);
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (phase == Phase.IDLE) {
            enter(Phase.ARRIVING);
            timer = onLoop(context, limits.arrivalMillis(), () -> refuseSlow(context));
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        timer.cancel();
        context.fireChannelInactive();
    }

    private void becomeIdle(ChannelHandlerContext context) {
        enter(Phase.IDLE);
        timer = onLoop(context, limits.idleMillis(), () -> closeIdle(context));
    }

    private void enter(Phase next) {
        timer.cancel();
        timer = () -> {};
        phase = next;
    }

    private void refuseSlow(ChannelHandlerContext context) {
        if (phase == Phase.ARRIVING) {
            enter(Phase.ANSWERING);
            context.fireUserEventTriggered(new EdgeRefusal(Refusal.notRun(
                    RefusalReason.CALLER_TOO_SLOW,
                    "the request did not arrive within " + limits.arrivalMillis() + " ms",
                    0)));
        }
    }

    private void closeIdle(ChannelHandlerContext context) {
        if (phase == Phase.IDLE) {
            Channels.close(context.channel());
        }
    }

    private Cancellable onLoop(ChannelHandlerContext context, long delayMillis, Runnable task) {
        return time.schedule(delayMillis, () -> context.executor().execute(task));
    }
}
