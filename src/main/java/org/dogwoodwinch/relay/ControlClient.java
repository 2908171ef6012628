package org.dogwoodwinch.relay;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.time.TimeSource;

/**
 * A client for short requests to the platform's store and to the control interfaces of targets. Each call has a
 * time-out, since a connection may stop responding for good; after a time-out, its connection is closed and not reused.
 * Confined to one event loop.
 */
public final class ControlClient {

    private final ControlConnector connector;
    private final TimeSource time;
    private final Map<InetSocketAddress, Deque<ControlConnection>> idle = new HashMap<>();

    /**
     * Creates a client without connections.
     *
     * @param transport the socket transport, not null
     * @param loop the event loop of all connections and callbacks, not null
     * @param time timers for the time-outs, not null
     * @param policy time-outs of the connections, not null
     */
    public ControlClient(Transport transport, EventLoop loop, TimeSource time, ConnectionPolicy policy) {
        this(new TcpConnector(transport, loop, policy), time);
    }

    /**
     * Creates a client without connections.
     *
     * @param connector opens connections, not null
     * @param time timers for the time-outs, not null
     */
    public ControlClient(ControlConnector connector, TimeSource time) {
        this.connector = Objects.requireNonNull(connector, "connector");
        this.time = Objects.requireNonNull(time, "time");
    }

    /**
     * Sends a call, on an idle connection if there is one.
     *
     * @param address the address of the server, not null
     * @param call the call to send, not null
     * @param timeoutMillis the time-out for the response, including the time to open a connection
     * @return a stage that completes on the event loop, never exceptionally
     */
    public CompletionStage<ControlReply> call(InetSocketAddress address, ControlRequest call, long timeoutMillis) {
        return call(address, call, timeoutMillis, AnswerCheck.NONE);
    }

    /**
     * Sends a call, on an idle connection if there is one. An answer that the check refuses counts as lost, and its
     * connection is closed, as the next answer on it may be the one to this call. The first answer on a connection is
     * not checked, since nothing else was asked there: a server whose state has truly gone back is heard at the next
     * call.
     *
     * @param address the address of the server, not null
     * @param call the call to send, not null
     * @param timeoutMillis the time-out for the response, including the time to open a connection
     * @param check examines the answer, not null
     * @return a stage that completes on the event loop, never exceptionally
     */
    public CompletionStage<ControlReply> call(
            InetSocketAddress address, ControlRequest call, long timeoutMillis, AnswerCheck check) {
        ControlExchange exchange = new ControlExchange(call, check, time, timeoutMillis);
        ControlConnection kept = pollIdle(address);
        if (kept != null) {
            kept.send(exchange);
        } else {
            open(address, exchange, this::returnToPool);
        }
        return exchange.reply();
    }

    /**
     * Sends a call on a new connection that carries no other call and is closed afterwards. No other server's answer and
     * no answer to an earlier question can arrive there, so the answer needs no other proof. Meant for rare calls that
     * change something and whose answers do not name them: a server takes few new connections.
     *
     * @param address the address of the server, not null
     * @param call the call to send, not null
     * @param timeoutMillis the time-out for the response, including the time to open a connection
     * @return a stage that completes on the event loop, never exceptionally
     */
    public CompletionStage<ControlReply> callOnOwnConnection(
            InetSocketAddress address, ControlRequest call, long timeoutMillis) {
        ControlExchange exchange = new ControlExchange(call, AnswerCheck.NONE, time, timeoutMillis);
        open(address, exchange, ControlConnection::close);
        return exchange.reply();
    }

    private ControlConnection pollIdle(InetSocketAddress address) {
        Deque<ControlConnection> connections = idle.get(address);
        if (connections == null) {
            return null;
        }
        ControlConnection connection = connections.pollFirst();
        while (connection != null && !connection.isOpen()) {
            connection = connections.pollFirst();
        }
        if (connections.isEmpty()) {
            idle.remove(address);
        }
        return connection;
    }

    private void open(InetSocketAddress address, ControlExchange exchange, Consumer<ControlConnection> onIdle) {
        ControlConnection connection = new ControlConnection(address, onIdle);
        connector.connect(address, connection.newInitializer(), new TargetConnector.Outcome() {
            @Override
            public void connected() {
                if (exchange.hasEnded()) {
                    onIdle.accept(connection);
                } else {
                    connection.send(exchange);
                }
            }

            @Override
            public void failed() {
                exchange.end(new ControlReply.Lost("connect_failed"));
            }
        });
    }

    private void returnToPool(ControlConnection connection) {
        if (connection.isOpen()) {
            idle.computeIfAbsent(connection.address(), _address -> new ArrayDeque<>())
                    .addFirst(connection);
        }
    }
}
