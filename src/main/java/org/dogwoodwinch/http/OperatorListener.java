package org.dogwoodwinch.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Binds the operators' listener: a few pages by exact path, apart from callers. */
public final class OperatorListener {

    private static final Logger log = LoggerFactory.getLogger(OperatorListener.class);
    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;
    private static final int INTERNAL_ERROR = 500;

    private OperatorListener() {}

    /**
     * Binds it.
     *
     * @param group runs its I/O, not null; its owner shuts it down
     * @param address where to listen; port 0 for any free one, not null
     * @param limits its bounds, not null
     * @param tls encrypts, not null; empty for plain text
     * @param pages the pages by path, not null
     * @return the listener
     * @throws IOException if the address cannot be bound
     */
    public static HttpListener bind(
            EventLoopGroup group,
            InetSocketAddress address,
            HttpLimits limits,
            Optional<SslContext> tls,
            Map<String, OperatorPage> pages)
            throws IOException {
        Map<String, OperatorPage> copy = Map.copyOf(pages);
        return new HttpListener(group, address, limits, tls, channel -> addHandlers(channel, limits, copy));
    }

    private static void addHandlers(SocketChannel channel, HttpLimits limits, Map<String, OperatorPage> pages) {
        channel.pipeline()
                .addLast(new ReadTimeoutHandler(limits.idleMillis(), TimeUnit.MILLISECONDS))
                .addLast(new HttpObjectAggregator(limits.maxBodyBytes()))
                .addLast(new PageHandler(pages));
    }

    private static final class PageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final Map<String, OperatorPage> pages;

        PageHandler(Map<String, OperatorPage> pages) {
            this.pages = pages;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest http) {
            boolean keepAlive =
                    HttpUtil.isKeepAlive(http) && http.decoderResult().isSuccess();
            OperatorAnswer answer = answer(http);
            FullHttpResponse response = Replies.of(
                    answer.status(), answer.contentType(), answer.body().toByteArray());
            Replies.setKeepAlive(response, keepAlive);
            ChannelFuture written = context.writeAndFlush(response);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LogEvent.of("operator_connection_failed").with("error", cause).debug(log);
            Channels.close(context.channel());
        }

        private OperatorAnswer answer(FullHttpRequest http) {
            if (http.decoderResult().isFailure()) {
                return OperatorAnswer.text(BAD_REQUEST, "malformed HTTP");
            }
            QueryStringDecoder uri = new QueryStringDecoder(http.uri());
            OperatorPage page = pages.get(uri.path());
            if (page == null) {
                return OperatorAnswer.text(NOT_FOUND, "there is no such page");
            }
            Bytes body = Bytes.of(ByteBufUtil.getBytes(http.content()));
            try {
                return page.answer(new OperatorCall(http.method().name(), uri.rawQuery(), body));
            } catch (RuntimeException e) {
                log.error("event=operator_page_failed path={}", uri.path(), e);
                return OperatorAnswer.text(INTERNAL_ERROR, "the page failed; see the log");
            }
        }
    }
}
