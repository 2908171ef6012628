package org.dogwoodwinch.daemon;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
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
            return read(call);
        } catch (IOException e) {
            return StutterReply.missing(call, "no head: " + e);
        }
    }

    private StutterReply read(StutterCall call) throws IOException {
        String statusLine = readLine();
        int status = Integer.parseInt(statusLine.split(" ", -1)[1]);
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String trouble = "";
        try {
            readBody(headers, body);
        } catch (IOException e) {
            trouble = "cut off: " + e;
        }
        return new StutterReply(
                call, status, headers, body.toString(StandardCharsets.ISO_8859_1), trouble.isEmpty(), trouble);
    }

    private void readBody(Map<String, String> headers, ByteArrayOutputStream body) throws IOException {
        if (headers.containsKey("content-length")) {
            readExactly(Integer.parseInt(headers.get("content-length")), body);
            return;
        }
        if (!headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            body.writeBytes(input.readAllBytes());
            return;
        }
        int length = Integer.parseInt(readLine(), 16);
        while (length > 0) {
            readExactly(length, body);
            readLine();
            length = Integer.parseInt(readLine(), 16);
        }
        readLine();
    }

    private void readExactly(int length, ByteArrayOutputStream body) throws IOException {
        for (int i = 0; i < length; i++) {
            body.write(readByte());
        }
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = readByte(); next != '\n'; next = readByte()) {
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    private int readByte() throws IOException {
        int next = input.read();
        if (next < 0) {
            throw new IOException("connection closed");
        }
        return next;
    }
}
