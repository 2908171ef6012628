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
final class TargetConnectionPool {

    /** Takes a connection, or learns that none could be had and that no byte was written. */
    interface AcquireCallback {

        /**
         * A connection is there, for this call alone.
         *
         * @param connection the connection, not null
         */
        void acquired(TargetConnection connection);

        /**
         * There is none.
         *
         * @param reason why, for logs and counters, not null
         */
        void notAcquired(String reason);
    }

    private final TargetConnector connector;
    private final CallHeaders callHeaders;
    private final TimeSource time;
    private final ConnectionPolicy policy;
    private final Predicate<String> rateLimit;
    private final Runnable onOpened;
    private final Consumer<String> onUnreachable;
    private final Map<String, TargetPool> pools = new HashMap<>();

    TargetConnectionPool(
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
        this.rateLimit = Objects.requireNonNull(mayArrive, "mayArrive");
        this.onOpened = Objects.requireNonNull(onOpened, "onOpened");
        this.onUnreachable = Objects.requireNonNull(onUnreachable, "onUnreachable");
    }

    /**
     * Hands out a kept connection, or opens one. Whatever is sent to a target passes here, and is asked for here once.
     *
     * @param target whose connection, not null
     * @param maxConnections the most connections to it from here
     * @param callback gets the outcome, at once or later, on the event loop, not null
     */
    void acquire(Incarnation target, int maxConnections, AcquireCallback callback) {
        TargetPool pool = pools.computeIfAbsent(target.id(), _id -> new TargetPool());
        Optional<TargetConnection> pooled = pollUsable(pool);
        if (pooled.isEmpty() && pool.openCount >= maxConnections) {
            callback.notAcquired("connections_in_use");
        } else if (!rateLimit.test(target.id())) {
            pooled.ifPresent(pool.idle::addFirst);
            removeIfEmpty(target.id(), pool);
            callback.notAcquired("limit_used_up");
        } else if (pooled.isPresent()) {
            callback.acquired(pooled.get());
        } else {
            open(target, pool, callback);
        }
    }

    private Optional<TargetConnection> pollUsable(TargetPool pool) {
        long nowMillis = time.monotonicMillis();
        TargetConnection pooled = pool.idle.pollFirst();
        while (pooled != null && (!pooled.isOpen() || pooled.isStale(nowMillis, policy.idleMarginMillis()))) {
            pooled.close();
            pooled = pool.idle.pollFirst();
        }
        return Optional.ofNullable(pooled);
    }

    /**
     * Gives back a connection that was taken and not used.
     *
     * @param connection the connection, not null
     */
    void release(TargetConnection connection) {
        returnToPool(connection);
    }

    /**
     * Closes the kept connections of a target that is gone; calls under way go on.
     *
     * @param id the target's id, not null
     */
    void removeTarget(String id) {
        TargetPool pool = pools.get(id);
        if (pool == null) {
            return;
        }
        pool.removed = true;
        List<TargetConnection> pooled = List.copyOf(pool.idle);
        pool.idle.clear();
        pooled.forEach(TargetConnection::close);
        removeIfEmpty(id, pool);
    }

    /** Closes all kept connections; calls under way go on. */
    void closeIdle() {
        for (TargetPool pool : List.copyOf(pools.values())) {
            List<TargetConnection> pooled = List.copyOf(pool.idle);
            pool.idle.clear();
            pooled.forEach(TargetConnection::close);
        }
    }

    private void open(Incarnation target, TargetPool pool, AcquireCallback callback) {
        pool.openCount++;
        pool.removed = false;
        TargetResponseDecoder decoder = new TargetResponseDecoder();
        TargetConnection connection = new TargetConnection(
                target, callHeaders, decoder, this::returnToPool, closed -> closed(closed.target(), pool));
        connector.connect(target, new Pipeline(decoder, connection), new TargetConnector.Outcome() {
            @Override
            public void connected() {
                onOpened.run();
                callback.acquired(connection);
            }

            @Override
            public void failed() {
                closed(target, pool);
                onUnreachable.accept(target.id());
                callback.notAcquired("connect_failed");
            }
        });
    }

    private void returnToPool(TargetConnection connection) {
        TargetPool pool = pools.get(connection.target().id());
        if (pool == null || pool.removed || !connection.isOpen()) {
            connection.close();
            return;
        }
        connection.markIdle(time.monotonicMillis());
        pool.idle.addFirst(connection);
    }

    private void closed(Incarnation target, TargetPool pool) {
        pool.openCount--;
        pool.idle.removeIf(connection -> !connection.isOpen());
        removeIfEmpty(target.id(), pool);
    }

    private void removeIfEmpty(String id, TargetPool pool) {
        if (pool.openCount <= 0) {
            pools.remove(id, pool);
        }
    }

    private static final class TargetPool {
        private final Deque<TargetConnection> idle = new ArrayDeque<>();
        private int openCount;
        private boolean removed;
    }

    private static final class Pipeline extends ChannelInitializer<Channel> {
        private final TargetResponseDecoder decoder;
        private final TargetConnection connection;

        Pipeline(TargetResponseDecoder decoder, TargetConnection connection) {
            this.decoder = decoder;
            this.connection = connection;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new HttpRequestEncoder(), decoder, connection);
        }
    }
}
