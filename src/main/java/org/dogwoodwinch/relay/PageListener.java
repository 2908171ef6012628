package org.dogwoodwinch.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.dogwoodwinch.http.Channels;
import org.dogwoodwinch.net.Transport;

/** A server for short text pages, such as the load balancer's readiness check and the metrics. */
final class PageListener {

    private static final int MAX_BODY_BYTES = 1_024;

    private PageListener() {}

    /**
     * A request for a page.
     *
     * @param method the HTTP method, not null
     * @param path the path with its query, not null
     * @param body the body, empty if there is none, not null
     */
    record PageRequest(String method, String path, String body) {}

    /**
     * A text page.
     *
     * @param status the HTTP status
     * @param contentType the content type of the text, not null
     * @param text the body, not null
     */
    record Page(int status, String contentType, String text) {}

    /**
     * Binds a listener.
     *
     * @param transport the socket transport, not null
     * @param address the address to listen on, not null
     * @param pages returns the page for a request, not null
     * @return the listening channel
     * @throws IOException if the address cannot be bound
     */
    static Channel bind(Transport transport, InetSocketAddress address, Function<PageRequest, Page> pages)
            throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(transport.eventLoopGroup())
                .channel(transport.serverChannelClass())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new PageHandler(pages));
                    }
                });
        ChannelFuture binding = bootstrap.bind(address).awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw new IOException("cannot listen on " + address, binding.cause());
        }
        return binding.channel();
    }

    private static final class PageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Function<PageRequest, Page> pages;

        PageHandler(Function<PageRequest, Page> pages) {
            this.pages = pages;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Page page = pages.apply(new PageRequest(
                    request.method().name(), request.uri(), request.content().toString(StandardCharsets.UTF_8)));
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(page.status()),
                    Unpooled.wrappedBuffer(page.text().getBytes(StandardCharsets.UTF_8)));
            response.headers().set("content-type", page.contentType());
            HttpUtil.setContentLength(response, response.content().readableBytes());
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            HttpUtil.setKeepAlive(response, keepAlive);
            ChannelFuture written = context.writeAndFlush(response);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        /** Closes the connection. The failure affects no other request, since clients retry on a new connection. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable _cause) {
            Channels.close(context.channel());
        }
    }
}
