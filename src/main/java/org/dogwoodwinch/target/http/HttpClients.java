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
 * The two AsyncHttpClients of a process: one that uses connections again and one that makes a fresh one for each call.
 * Neither ever sends a call a second time by itself.
 */
public final class HttpClients {

    /** Below the usual idle time of servers, so that the pool rarely hands out a connection its peer just closed. */
    private static final Duration POOLED_IDLE_TIMEOUT = Duration.ofSeconds(5);

    /** One read takes at most this: a paused caller's answer waits in the kernel and the engine, not on our heap. */
    private static final int MAX_READ_BYTES = 8_192;

    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2_048;

    private final AsyncHttpClient pooledClient;
    private final AsyncHttpClient freshClient;

    /**
     * Creates the clients.
     *
     * @param group runs their I/O, not null; its owner shuts it down after {@link #close()}
     * @param connectTimeoutMillis how long a connection may take to be made, in milliseconds
     */
    public HttpClients(EventLoopGroup group, int connectTimeoutMillis) {
        pooledClient = new DefaultAsyncHttpClient(config(group, connectTimeoutMillis, true));
        freshClient = new DefaultAsyncHttpClient(config(group, connectTimeoutMillis, false));
    }

    /**
     * Makes a caller for short calls over connections that are used again.
     *
     * @param maxAnswerBytes the longest answer taken, in bytes
     * @return the caller
     */
    public HttpCaller pooledCaller(int maxAnswerBytes) {
        return new HttpCaller(pooledClient, maxAnswerBytes);
    }

    /**
     * Makes a caller that uses a fresh connection for each call.
     *
     * @param maxAnswerBytes the longest answer taken, in bytes
     * @return the caller
     */
    public HttpCaller freshCaller(int maxAnswerBytes) {
        return new HttpCaller(freshClient, maxAnswerBytes);
    }

    /**
     * Makes the client of an engine.
     *
     * @param target the engine, not null
     * @param time runs the timers, not null
     * @param timeouts how long calls may take, not null
     * @return the client
     */
    HttpEngineClient engine(Target target, TimeSource time, TargetTimeouts timeouts) {
        return new HttpEngineClient(pooledClient, target, time, timeouts);
    }

    /**
     * Closes both; calls in flight fail.
     *
     * @throws UncheckedIOException if one cannot be closed
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
                // The client's own retry would send a call a second time behind the back of the request's life.
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
