package org.dogwoodwinch.daemon;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

/** Sends calls one after another to one instance, on a kept connection. */
final class StutterCaller implements Callable<List<StutterReply>> {

    /** Ends the test where an instance never answers; well above the route's time-out. */
    private static final int SILENCE_MILLIS = 30_000;

    private final int port;
    private final List<StutterCall> calls;
    private Socket socket;
    private InputStream input;

    StutterCaller(int port, List<StutterCall> calls) {
        this.port = port;
        this.calls = List.copyOf(calls);
    }

    @Override
    public List<StutterReply> call() throws IOException {
        List<StutterReply> replies = new ArrayList<>();
        for (StutterCall call : calls) {
            StutterReply reply = send(call);
            replies.add(reply);
            if (!reply.leavesConnectionOpen()) {
                close();
            }
        }
        close();
        return replies;
    }

    private void close() throws IOException {
        if (socket != null) {
            socket.close();
            socket = null;
        }
    }

    private StutterReply send(StutterCall call) {
        try {
            if (socket == null) {
                socket = DaemonSockets.open(port, call.request());
                socket.setSoTimeout(SILENCE_MILLIS);
                input = new BufferedInputStream(socket.getInputStream());
            } else {
                socket.getOutputStream().write(call.request().getBytes(StandardCharsets.ISO_8859_1));
            }
            return new StutterReplyReader(input).read(call);
        } catch (IOException e) {
            return StutterReply.missing(call, "no head: " + e);
        }
    }
}
