package org.dogwoodwinch.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.dogwoodwinch.forwarding.ConnectionReuse;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.time.TimeSource;

/**
 * A pool of connections to targets. Confined to one event loop.
 *
 * <p>Connections are pooled by target id and never by address, since an address may be reassigned to another target.
 */
final class TargetConnectionPool {

    /** The reason why there is none: this instance uses all of its connections to the target. */
    static final String CONNECTIONS_IN_USE = "connections_in_use";

    /** The reason why there is none: the connection could not be opened. */
    static final String CONNECT_FAILED = "connect_failed";

    /** Receives a connection, or the reason why there is none. In the latter case, no byte was written. */
    interface AcquireCallback {

        /**
         * Receives a connection for the exclusive use of this call.
         *
         * @param connection the connection, not null
         */
        void acquired(TargetConnection connection);

        /**
         * Receives the reason why no connection was acquired.
         *
         * @param reason the reason for logs and metrics, not null
         */
        void notAcquired(String reason);
    }

    /** Receives what happens to connections to targets. */
    interface Events {

        /** Ignores everything. */
        Events NONE = new Events() {
            @Override
            public void opened(String _targetId) {}

            @Override
            public void unreachable(String _targetId) {}

            @Override
            public void heard() {}

            @Override
            public void answerRepeated(String _targetId, String _reason) {}
        };

        /**
         * A connection to a target was opened.
         *
         * @param targetId the target's id, not null
         */
        void opened(String targetId);

        /**
         * No connection for a call could be opened to a target.
         *
         * @param targetId the target's id, not null
         */
        void unreachable(String targetId);

        /** Bytes of a response arrived from any target. */
        void heard();

        /**
         * A target sent bytes that do not belong to the call under way, or that nothing proves to belong to it.
         *
         * @param targetId the target's id, not null
         * @param reason the reason for metrics, not null
         */
        void answerRepeated(String targetId, String reason);
    }

    private final TargetConnector connector;
    private final CallHeaders callHeaders;
    private final HeadVerdict.Judge judge;
    private final TimeSource time;
    private final ConnectionPolicy policy;
    private final ConnectionReuse reuse = new ConnectionReuse();
    private final Predicate<String> rateLimit;
    private final Events events;
    private final BiConsumer<Incarnation, ResponseAttributes> onResponseHead;
    private final Map<String, TargetPool> pools = new HashMap<>();

    TargetConnectionPool(
            TargetConnector connector,
            CallHeaders callHeaders,
            HeadVerdict.Judge judge,
            TimeSource time,
            ConnectionPolicy policy,
            Predicate<String> mayArrive,
            Events events,
            BiConsumer<Incarnation, ResponseAttributes> onResponseHead) {
        this.connector = Objects.requireNonNull(connector, "connector");
        this.callHeaders = Objects.requireNonNull(callHeaders, "callHeaders");
        this.judge = Objects.requireNonNull(judge, "judge");
        this.time = Objects.requireNonNull(time, "time");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.rateLimit = Objects.requireNonNull(mayArrive, "mayArrive");
        this.events = Objects.requireNonNull(events, "events");
        this.onResponseHead = Objects.requireNonNull(onResponseHead, "onResponseHead");
    }

    /**
     * Acquires an idle connection or opens one. Every send to a target acquires its connection here and so takes from
     * the target's rate limit exactly once.
     *
     * @param target the target to connect to, not null
     * @param requestId the id of the call, not null; a connection that has carried it is not used
     * @param maxConnections the maximum number of connections from this instance to the target
     * @param callback receives the outcome on the event loop, possibly before this method returns, not null
     */
    void acquire(Incarnation target, String requestId, int maxConnections, AcquireCallback callback) {
        TargetPool pool = pools.computeIfAbsent(target.id(), _id -> new TargetPool());
        Optional<TargetConnection> pooled = pollUsable(pool, requestId);
        if (pooled.isEmpty() && pool.openCount >= maxConnections) {
            callback.notAcquired(CONNECTIONS_IN_USE);
        } else if (!rateLimit.test(target.id())) {
            pooled.ifPresent(pool.idle::addFirst);
            removeIfEmpty(target.id(), pool);
            callback.notAcquired("limit_used_up");
        } else if (pooled.isPresent()) {
            callback.acquired(pooled.get());
        } else {
            openForCall(target, pool, callback);
        }
    }

    private Optional<TargetConnection> pollUsable(TargetPool pool, String requestId) {
        long nowMillis = time.monotonicMillis();
        Iterator<TargetConnection> pooled = pool.idle.iterator();
        while (pooled.hasNext()) {
            TargetConnection connection = pooled.next();
            boolean usable = connection.isOpen() && !connection.isStale(nowMillis, policy.idleMarginMillis());
            if (!usable) {
                pooled.remove();
                connection.close();
            } else if (!connection.hasCarried(requestId)) {
                pooled.remove();
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns an acquired connection that was not used.
     *
     * @param connection the connection, not null
     */
    void release(TargetConnection connection) {
        returnToPool(connection);
    }

    /**
     * Closes the idle connections to a target that is gone; calls under way continue.
     *
     * @param id the target's id, not null
     */
    void removeTarget(String id) {
        TargetPool pool = pools.get(id);
        if (pool == null) {
            return;
        }
        pool.removed = true;
        reuse.removeTarget(id);
        closeIdle(pool);
        removeIfEmpty(id, pool);
    }

    /** Closes all idle connections; calls under way continue. */
    void closeIdle() {
        List.copyOf(pools.values()).forEach(TargetConnectionPool::closeIdle);
    }

    private static void closeIdle(TargetPool pool) {
        List<TargetConnection> pooled = List.copyOf(pool.idle);
        pool.idle.clear();
        pooled.forEach(TargetConnection::close);
    }

    /**
     * Opens a connection without a call, to find out whether a target accepts one. It is used for the next call.
     *
     * @param target the target to connect to, not null
     * @param maxConnections the maximum number of connections from this instance to the target
     * @param onOutcome told once whether the target accepted it, not null
     * @return false if nothing was opened, because the target already has the maximum
     */
    boolean probe(Incarnation target, int maxConnections, Consumer<Boolean> onOutcome) {
        TargetPool pool = pools.computeIfAbsent(target.id(), _id -> new TargetPool());
        if (pool.openCount >= maxConnections) {
            return false;
        }
        open(target, pool, new ConnectOutcome() {
            @Override
            public void connected(TargetConnection connection) {
                returnToPool(connection);
                onOutcome.accept(true);
            }

            @Override
            public void failed() {
                onOutcome.accept(false);
            }
        });
        return true;
    }

    private void openForCall(Incarnation target, TargetPool pool, AcquireCallback callback) {
        open(target, pool, new ConnectOutcome() {
            @Override
            public void connected(TargetConnection connection) {
                callback.acquired(connection);
            }

            @Override
            public void failed() {
                events.unreachable(target.id());
                callback.notAcquired(CONNECT_FAILED);
            }
        });
    }

    private void open(Incarnation target, TargetPool pool, ConnectOutcome outcome) {
        pool.openCount++;
        pool.removed = false;
        TargetConnection connection = new TargetConnection(target, callHeaders, judge, new PoolListener(target, pool));
        connector.connect(target, new Pipeline(connection), new TargetConnector.Outcome() {
            @Override
            public void connected() {
                events.opened(target.id());
                outcome.connected(connection);
            }

            @Override
            public void failed() {
                closed(target, pool);
                outcome.failed();
            }
        });
    }

    private void returnToPool(TargetConnection connection) {
        TargetPool pool = pools.get(connection.target().id());
        boolean isUsed = connection.hasCarriedAny();
        boolean reusable = !isUsed || reuse.isAllowed(connection.target().id(), time.monotonicMillis());
        if (pool == null || pool.removed || !connection.isOpen() || !reusable) {
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

    private interface ConnectOutcome {

        void connected(TargetConnection connection);

        void failed();
    }

    private static final class TargetPool {
        private final Deque<TargetConnection> idle = new ArrayDeque<>();
        private int openCount;
        private boolean removed;
    }

    /** Passes on what happens on a connection. */
    private final class PoolListener implements TargetConnectionListener {
        private final Incarnation target;
        private final TargetPool pool;

        PoolListener(Incarnation target, TargetPool pool) {
            this.target = target;
            this.pool = pool;
        }

        @Override
        public void heard() {
            events.heard();
        }

        @Override
        public void responseHead(ResponseAttributes attributes) {
            onResponseHead.accept(target, attributes);
        }

        @Override
        public void repeated(TargetConnection _connection, String reason) {
            reuse.recordRepeated(target.id(), time.monotonicMillis());
            closeIdle(pool);
            events.answerRepeated(target.id(), reason);
        }

        @Override
        public void idle(TargetConnection connection) {
            returnToPool(connection);
        }

        @Override
        public void closed(TargetConnection _connection) {
            TargetConnectionPool.this.closed(target, pool);
        }
    }

    private static final class Pipeline extends ChannelInitializer<Channel> {
        private final TargetConnection connection;

        Pipeline(TargetConnection connection) {
            this.connection = connection;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline().addLast(connection.newHandlers());
        }
    }
}
