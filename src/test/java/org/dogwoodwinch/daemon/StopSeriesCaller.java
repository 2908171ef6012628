package org.dogwoodwinch.daemon;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;

/**
 * Sends calls one after another on a kept connection, until the instance ends it, and opens the next one to an instance
 * that is not stopping.
 */
final class StopSeriesCaller implements Callable<List<StopSeriesReply>> {

    /** Ends the test where an instance never answers; well above the route's time-out. */
    private static final int SILENCE_MILLIS = 30_000;

    private final int number;
    private final List<StopSeriesInstance> instances;
    private final IntFunction<StutterCall> calls;
    private final BooleanSupplier hasEnded;
    private final List<StopSeriesReply> replies = new ArrayList<>();
    private Socket socket;
    private InputStream input;
    private StopSeriesInstance.Life life;
    private boolean hasAnswered;

    /**
     * Creates a caller.
     *
     * @param number selects its first instance
     * @param instances the instances, not null
     * @param calls draws the call with a number, not null
     * @param hasEnded whether to send no further call, not null
     */
    StopSeriesCaller(
            int number, List<StopSeriesInstance> instances, IntFunction<StutterCall> calls, BooleanSupplier hasEnded) {
        this.number = number;
        this.instances = List.copyOf(instances);
        this.calls = calls;
        this.hasEnded = hasEnded;
    }

    @Override
    public List<StopSeriesReply> call() throws IOException {
        for (int i = 0; !hasEnded.getAsBoolean(); i++) {
            if (socket == null || hasEnd()) {
                close();
                open();
            }
            if (socket != null) {
                send(calls.apply(i));
            }
        }
        close();
        return List.copyOf(replies);
    }

    private void send(StutterCall call) throws IOException {
        long sentNanos = System.nanoTime();
        StutterReply reply;
        boolean wasReset = false;
        try {
            socket.getOutputStream().write(call.request().getBytes(StandardCharsets.ISO_8859_1));
            reply = new StutterReplyReader(input).read(call);
        } catch (SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            reply = StutterReply.missing(call, e.toString());
            wasReset = e instanceof SocketException;
        }
        long waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
        replies.add(new StopSeriesReply(reply, life.instance(), waitedMillis, wasReset && !hasAnswered));
        hasAnswered = true;
        if (!reply.leavesConnectionOpen()) {
            close();
        }
    }

    /** Opens a connection to the next instance that is not stopping; none if that has just begun to stop. */
    private void open() {
        for (int i = 0; i < instances.size(); i++) {
            life = instances.get((number + i) % instances.size()).life();
            if (life.isOpen()) {
                break;
            }
        }
        try {
            socket = DaemonSockets.open(life.port(), "");
            hasAnswered = false;
            socket.setSoTimeout(SILENCE_MILLIS);
            input = new BufferedInputStream(socket.getInputStream());
        } catch (IOException e) {
            socket = null;
        }
    }

    /** Returns whether the instance has ended the connection, on which no answer is due. */
    private boolean hasEnd() throws IOException {
        socket.setSoTimeout(1);
        try {
            return input.read() < 0;
        } catch (SocketTimeoutException e) {
            socket.setSoTimeout(SILENCE_MILLIS);
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    private void close() throws IOException {
        if (socket != null) {
            socket.close();
            socket = null;
        }
    }
}
