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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Binds the operators' listener: a few pages, apart from callers. */
public final class OperatorListener {

    private static final Logger log = LoggerFactory.getLogger(OperatorListener.class);
    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;
    private static final int INTERNAL_ERROR = 500;

    private static final OperatorPage NO_PAGE =
            _call -> CompletableFuture.completedFuture(OperatorAnswer.text(NOT_FOUND, "there is no such page"));

    private OperatorListener() {}

    /**
     * Binds it.
     *
     * @param group runs its I/O, not null; its owner shuts it down
     * @param address where to listen; port 0 for any free one, not null
     * @param limits its bounds, not null
     * @param tls encrypts, not null; empty for plain text
     * @param pages the pages by path; one whose path ends with a slash serves all paths below it, not null
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
            answer(http).whenComplete((answer, failure) -> {
                OperatorAnswer written = failure == null ? answer : failed(http.uri(), failure);
                write(context, written, keepAlive);
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LogEvent.of("operator_connection_failed").with("error", cause).debug(log);
            Channels.close(context.channel());
        }

        private CompletionStage<OperatorAnswer> answer(FullHttpRequest http) {
            if (http.decoderResult().isFailure()) {
                return CompletableFuture.completedFuture(OperatorAnswer.text(BAD_REQUEST, "malformed HTTP"));
            }
            QueryStringDecoder uri = new QueryStringDecoder(http.uri());
            Bytes body = Bytes.of(ByteBufUtil.getBytes(http.content()));
            OperatorCall call = new OperatorCall(http.method().name(), uri.path(), uri.rawQuery(), body);
            try {
                return pageFor(uri.path()).answer(call);
            } catch (RuntimeException e) {
                return CompletableFuture.failedFuture(e);
            }
        }

        private OperatorPage pageFor(String path) {
            OperatorPage exact = pages.get(path);
            if (exact != null) {
                return exact;
            }
            return pages.entrySet().stream()
                    .filter(page -> page.getKey().endsWith("/") && path.startsWith(page.getKey()))
                    .map(Map.Entry::getValue)
                    .findFirst()
                    .orElse(NO_PAGE);
        }

        private static OperatorAnswer failed(String uri, Throwable failure) {
            log.error("event=operator_page_failed uri={}", uri, failure);
            return OperatorAnswer.text(INTERNAL_ERROR, "the page failed; see the log");
        }

        private static void write(ChannelHandlerContext context, OperatorAnswer answer, boolean keepAlive) {
            FullHttpResponse response = Replies.of(
                    answer.status(), answer.contentType(), answer.body().toByteArray());
            Replies.setKeepAlive(response, keepAlive);
            ChannelFuture written = context.writeAndFlush(response);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }
    }
}
