package org.dogwoodwinch.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.time.TimeSource;

/**
 * The connections to targets, kept between calls. Used on one event loop alone.
 *
 * <p>Kept by incarnation, never by address: an address may be another target's after the first one's end.
 */
final class TargetConnections {

    /** Takes a connection, or learns that none could be had and that no byte was written. */
    interface Taker {

        /**
         * A connection is there, for this call alone.
         *
         * @param connection the connection, not null
         */
        void took(TargetConnection connection);

        /**
         * There is none.
         *
         * @param reason why, for logs and counters, not null
         */
        void failed(String reason);
    }

    private final TargetConnector connector;
    private final CallHeaders callHeaders;
    private final TimeSource time;
    private final ConnectionPolicy policy;
    private final Predicate<String> mayArrive;
    private final Runnable onOpened;
    private final Consumer<String> onUnreachable;
    private final Map<String, Lane> lanes = new HashMap<>();

    TargetConnections(
            TargetConnector connector,
            CallHeaders callHeaders,
            TimeSource time,
            ConnectionPolicy policy,
            Predicate<String> mayArrive,
            Runnable onOpened,
            Consumer<String> onUnreachable) {
        this.connector = Objects.requireNonNull(connector, "connector");
        this.callHeaders = Objects.requireNonNull(callHeaders, "callHeaders");
        this.time = Objects.requireNonNull(time, "time");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.mayArrive = Objects.requireNonNull(mayArrive, "mayArrive");
        this.onOpened = Objects.requireNonNull(onOpened, "onOpened");
        this.onUnreachable = Objects.requireNonNull(onUnreachable, "onUnreachable");
    }

    /**
     * Hands out a kept connection, or opens one. Whatever is sent to a target passes here, and is asked for here once.
     *
     * @param target whose connection, not null
     * @param mostCount the most connections to it from here
     * @param taker gets the outcome, at once or later, on the event loop, not null
     */
    void take(Incarnation target, int mostCount, Taker taker) {
        Lane lane = lanes.computeIfAbsent(target.id(), _id -> new Lane());
        Optional<TargetConnection> kept = kept(lane);
        if (kept.isEmpty() && lane.openCount >= mostCount) {
            taker.failed("connections_in_use");
        } else if (!mayArrive.test(target.id())) {
            kept.ifPresent(lane.idle::addFirst);
            dropIfEmpty(target.id(), lane);
            taker.failed("limit_used_up");
        } else if (kept.isPresent()) {
            taker.took(kept.get());
        } else {
            open(target, lane, taker);
        }
    }

    private Optional<TargetConnection> kept(Lane lane) {
        long nowMillis = time.monotonicMillis();
        TargetConnection kept = lane.idle.pollFirst();
        while (kept != null && (!kept.open() || kept.stale(nowMillis, policy.idleMarginMillis()))) {
            kept.close();
            kept = lane.idle.pollFirst();
        }
        return Optional.ofNullable(kept);
    }

    /**
     * Gives back a connection that was taken and not used.
     *
     * @param connection the connection, not null
     */
    void giveBack(TargetConnection connection) {
        keep(connection);
    }

    /**
     * Closes the kept connections of a target that is gone; calls under way go on.
     *
     * @param id the target's id, not null
     */
    void forget(String id) {
        Lane lane = lanes.get(id);
        if (lane == null) {
            return;
        }
        lane.forgotten = true;
        List<TargetConnection> kept = List.copyOf(lane.idle);
        lane.idle.clear();
        kept.forEach(TargetConnection::close);
        dropIfEmpty(id, lane);
    }

    /** Closes all kept connections; calls under way go on. */
    void dropKept() {
        for (Lane lane : List.copyOf(lanes.values())) {
            List<TargetConnection> kept = List.copyOf(lane.idle);
            lane.idle.clear();
            kept.forEach(TargetConnection::close);
        }
    }

    private void open(Incarnation target, Lane lane, Taker taker) {
        lane.openCount++;
        lane.forgotten = false;
        AnswerDecoder decoder = new AnswerDecoder();
        TargetConnection connection =
                new TargetConnection(target, callHeaders, decoder, this::keep, closed -> closed(closed.target(), lane));
        connector.connect(target, new Pipeline(decoder, connection), new TargetConnector.Outcome() {
            @Override
            public void connected() {
                onOpened.run();
                taker.took(connection);
            }

            @Override
            public void failed() {
                closed(target, lane);
                onUnreachable.accept(target.id());
                taker.failed("connect_failed");
            }
        });
    }

    private void keep(TargetConnection connection) {
        Lane lane = lanes.get(connection.target().id());
        if (lane == null || lane.forgotten || !connection.open()) {
            connection.close();
            return;
        }
        connection.idleSince(time.monotonicMillis());
        lane.idle.addFirst(connection);
    }

    private void closed(Incarnation target, Lane lane) {
        lane.openCount--;
        lane.idle.removeIf(connection -> !connection.open());
        dropIfEmpty(target.id(), lane);
    }

    private void dropIfEmpty(String id, Lane lane) {
        if (lane.openCount <= 0) {
            lanes.remove(id, lane);
        }
    }

    private static final class Lane {
        private final Deque<TargetConnection> idle = new ArrayDeque<>();
        private int openCount;
        private boolean forgotten;
    }

    private static final class Pipeline extends ChannelInitializer<Channel> {
        private final AnswerDecoder decoder;
        private final TargetConnection connection;

        Pipeline(AnswerDecoder decoder, TargetConnection connection) {
            this.decoder = decoder;
            this.connection = connection;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new HttpRequestEncoder(), decoder, connection);
        }
    }
}
