package org.dogwoodwinch.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.net.Transport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends messages between instances over TCP. Each message has a four-byte length prefix, and there is one connection
 * per member, which stays open while it is in use. With a TLS context that requires client certificates, both ends are
 * authenticated before a byte is read.
 */
public final class NettyPeerTransport implements PeerTransport, AutoCloseable {

    private static final Logger log = LoggerFactory.getLogger(NettyPeerTransport.class);

    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int IDLE_TIMEOUT_SECONDS = 60;
    /** Many round trips between data centres, yet short enough that a member is reached soon after it is back. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /**
     * The time without a TCP acknowledgement after which a connection is closed.
     *
     * <p>Failure: a member loses power and restarts. Until the old connection is found to be dead, the member receives
     * no messages, and has no state to serve from if the platform rejects its calls. Messages are sent several times a
     * second, so a second without an acknowledgement is not caused by a slow link.
     */
    private static final int UNACKNOWLEDGED_TIMEOUT_MILLIS = 1_000;

    private static final int MAX_INBOUND_CONNECTIONS = 1_024;

    private final Transport sockets;
    private final int maxMessageBytes;
    private final Optional<SslContext> serverTls;
    private final Optional<SslContext> clientTls;
    private final Map<PeerMember, ChannelFuture> outboundConnections = new ConcurrentHashMap<>();
    private final Map<Channel, Boolean> inboundChannels = new ConcurrentHashMap<>();
    private Optional<Channel> listener = Optional.empty();
    private Consumer<PeerMember> connectionListener = _member -> {};
    private Optional<Consumer<Channel>> callAcceptor = Optional.empty();

    /**
     * Creates a transport.
     *
     * @param sockets the socket transport, not null; its owner shuts it down
     * @param maxMessageBytes the maximum size of a message that is sent or received, in bytes
     * @param serverTls the TLS context of connections from members, empty for none, not null
     * @param clientTls the TLS context of connections to members, empty for none, not null
     */
    public NettyPeerTransport(
            Transport sockets, int maxMessageBytes, Optional<SslContext> serverTls, Optional<SslContext> clientTls) {
        this.sockets = Objects.requireNonNull(sockets, "sockets");
        this.maxMessageBytes = maxMessageBytes;
        this.serverTls = Objects.requireNonNull(serverTls, "serverTls");
        this.clientTls = Objects.requireNonNull(clientTls, "clientTls");
    }

    /**
     * Starts to listen for connections.
     *
     * @param host the IP address to listen on, not null
     * @param port the port, zero for any free one
     * @param messageHandler processes each message and returns whether it was accepted; if not, the connection is
     *     closed
     * @return the port that it listens on
     */
    public synchronized int listen(String host, int port, Predicate<Bytes> messageHandler) {
        Channel channel = new ServerBootstrap()
                .group(sockets.eventLoopGroup())
                .channel(sockets.serverChannelClass())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accept) {
                        initInboundChannel(accept, messageHandler);
                    }
                })
                .bind(host, port)
                .syncUninterruptibly()
                .channel();
        listener = Optional.of(channel);
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /**
     * Starts to listen for connections, and reports each connection that is opened to a member.
     *
     * @param address the address to listen on, not null
     * @param messageHandler processes each message and returns whether it was accepted; if not, the connection is
     *     closed
     * @param connectionListener called on the event loop for each new connection to a member, not null
     * @return the port that it listens on
     */
    public int listen(
            InetSocketAddress address, Predicate<Bytes> messageHandler, Consumer<PeerMember> connectionListener) {
        this.connectionListener = Objects.requireNonNull(connectionListener, "connectionListener");
        return listen(address.getHostString(), address.getPort(), messageHandler);
    }

    /**
     * Lets connections of other instances carry calls too. Called before this transport listens.
     *
     * @param acceptor adds the handlers that read calls to the channel of such a connection, not null
     */
    public void acceptCalls(Consumer<Channel> acceptor) {
        this.callAcceptor = Optional.of(acceptor);
    }

    private void initInboundChannel(SocketChannel channel, Predicate<Bytes> messageHandler) {
        if (inboundChannels.size() >= MAX_INBOUND_CONNECTIONS) {
            ignoreOutcome(channel.close());
            return;
        }
        inboundChannels.put(channel, Boolean.TRUE);
        ignoreOutcome(channel.closeFuture().addListener(_done -> inboundChannels.remove(channel)));
        serverTls.ifPresent(tls -> channel.pipeline().addLast(tls.newHandler(channel.alloc())));
        List<ChannelHandler> messageHandlers = List.of(
                new IdleStateHandler(2 * IDLE_TIMEOUT_SECONDS, 0, 0),
                new LengthFieldBasedFrameDecoder(maxMessageBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES),
                new InboundHandler(messageHandler));
        callAcceptor.ifPresent(
                acceptor -> channel.pipeline().addLast(new CallPrefaceDetector(messageHandlers, acceptor)));
        messageHandlers.forEach(channel.pipeline()::addLast);
    }

    @Override
    public void send(PeerMember member, Bytes message) {
        if (message.length() > maxMessageBytes) {
            return;
        }
        ChannelFuture connection = outboundConnections.computeIfAbsent(member, this::connect);
        ignoreOutcome(connection.addListener(_connected -> {
            if (!connection.isSuccess()) {
                outboundConnections.remove(member, connection);
            } else if (connection.channel().isWritable()) {
                // A member that reads slowly misses a message; queueing for it would only grow the heap.
                ignoreOutcome(connection.channel().writeAndFlush(Unpooled.wrappedBuffer(message.toByteArray())));
            }
        }));
    }

    private ChannelFuture connect(PeerMember member) {
        // With the time-out for acknowledgements, a dead connection does not stay in use while bytes are written to it.
        ChannelFuture connection = sockets.newClient(
                        sockets.eventLoopGroup(), CONNECT_TIMEOUT_MILLIS, UNACKNOWLEDGED_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        clientTls.ifPresent(tls -> channel.pipeline()
                                .addLast(tls.newHandler(channel.alloc(), member.host(), member.peerPort())));
                        channel.pipeline()
                                .addLast(new IdleStateHandler(0, IDLE_TIMEOUT_SECONDS, 0))
                                .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                                .addLast(new OutboundHandler());
                    }
                })
                .connect(member.host(), member.peerPort());
        ignoreOutcome(connection
                .channel()
                .closeFuture()
                .addListener(_closed -> outboundConnections.remove(member, connection)));
        ignoreOutcome(connection.addListener(_connected -> {
            if (connection.isSuccess()) {
                // Deferred until the message that opened the connection is written: messages have increasing numbers,
                // and one that is overtaken is refused as replayed.
                connection.channel().eventLoop().execute(() -> connectionListener.accept(member));
            }
        }));
        return connection;
    }

    @Override
    public synchronized void close() {
        listener.ifPresent(channel -> channel.close().syncUninterruptibly());
        inboundChannels.keySet().forEach(channel -> ignoreOutcome(channel.close()));
        outboundConnections
                .values()
                .forEach(connection -> ignoreOutcome(connection.channel().close()));
    }

    /**
     * Ignores the result: a failed write or close shows as a closed channel, which is handled by the close listener.
     */
    private static void ignoreOutcome(Future<?> future) {
        Objects.requireNonNull(future, "future");
    }

    /** Closes a connection that is idle or broken; the next message opens another one. */
    private static class OutboundHandler extends SimpleChannelInboundHandler<ByteBuf> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf _message) {
            ignoreOutcome(context.close());
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof IdleStateEvent) {
                ignoreOutcome(context.close());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LogEvent.of("peer_connection_failed")
                    .with("remote", context.channel().remoteAddress())
                    .with("error", cause.toString())
                    .debug(log);
            ignoreOutcome(context.close());
        }
    }

    private static final class InboundHandler extends OutboundHandler {

        private final Predicate<Bytes> messageHandler;

        InboundHandler(Predicate<Bytes> messageHandler) {
            this.messageHandler = messageHandler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf message) {
            if (!messageHandler.test(Bytes.of(ByteBufUtil.getBytes(message)))) {
                LogEvent.of("peer_message_refused")
                        .with("remote", context.channel().remoteAddress())
                        .warn(log);
                ignoreOutcome(context.close());
            }
        }
    }
}
