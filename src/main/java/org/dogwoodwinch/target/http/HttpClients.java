package org.dogwoodwinch.target.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.time.TimeSource;

/**
 * The two AsyncHttpClients of a process: one that pools connections and one that opens a new connection for each call.
 * Neither retries a call.
 */
public final class HttpClients {

    /**
     * Shorter than the usual idle timeout of servers, so that the pool rarely returns a connection that the peer
     * closed.
     */
    private static final Duration POOLED_IDLE_TIMEOUT = Duration.ofSeconds(5);

    /**
     * The maximum size of one read; the rest of a paused answer stays in the kernel and the engine, not on the heap.
     */
    private static final int MAX_READ_BYTES = 8_192;

    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2_048;

    private final AsyncHttpClient pooledClient;
    private final AsyncHttpClient freshClient;

    /**
     * Creates the clients.
     *
     * @param group runs the I/O, not null; the caller shuts it down after {@link #close()}
     * @param connectTimeoutMillis the connect timeout, in milliseconds
     */
    public HttpClients(EventLoopGroup group, int connectTimeoutMillis) {
        pooledClient = new DefaultAsyncHttpClient(config(group, connectTimeoutMillis, true));
        freshClient = new DefaultAsyncHttpClient(config(group, connectTimeoutMillis, false));
    }

    /**
     * Creates a caller for short calls over pooled connections.
     *
     * @param maxAnswerBytes the maximum size of an answer, in bytes
     * @return the caller
     */
    public HttpCaller pooledCaller(int maxAnswerBytes) {
        return new HttpCaller(pooledClient, maxAnswerBytes);
    }

    /**
     * Creates a caller that uses a new connection for each call.
     *
     * @param maxAnswerBytes the maximum size of an answer, in bytes
     * @return the caller
     */
    public HttpCaller freshCaller(int maxAnswerBytes) {
        return new HttpCaller(freshClient, maxAnswerBytes);
    }

    /**
     * Creates a client of an engine.
     *
     * @param target the engine, not null
     * @param time runs the timers, not null
     * @param timeouts the timeouts of the calls, not null
     * @return the client
     */
    HttpEngineClient engine(Target target, TimeSource time, TargetTimeouts timeouts) {
        return new HttpEngineClient(pooledClient, target, time, timeouts);
    }

    /**
     * Closes both clients; calls in flight fail.
     *
     * @throws UncheckedIOException if closing a client fails
     */
    public void close() {
        try {
            pooledClient.close();
            freshClient.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static AsyncHttpClientConfig config(EventLoopGroup group, int connectTimeoutMillis, boolean keepAlive) {
        return new DefaultAsyncHttpClientConfig.Builder()
                .setEventLoopGroup(group)
                .setConnectTimeout(Duration.ofMillis(connectTimeoutMillis))
                // An automatic retry would send a call twice without the request's state reflecting it.
                .setMaxRequestRetry(0)
                .setFollowRedirect(false)
                .setKeepAlive(keepAlive)
                .setPooledConnectionIdleTimeout(POOLED_IDLE_TIMEOUT)
                .setReadTimeout(Duration.ofMillis(-1))
                .setEnableAutomaticDecompression(false)
                .setUseProxyProperties(false)
                .setTcpNoDelay(true)
                .setCookieStore(null)
                .setShutdownQuietPeriod(Duration.ZERO)
                .setShutdownTimeout(Duration.ofSeconds(1))
                .addChannelOption(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1))
                .build();
    }
}
