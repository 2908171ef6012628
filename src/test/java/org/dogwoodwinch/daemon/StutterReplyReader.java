package org.dogwoodwinch.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads the answers to calls from one connection. */
final class StutterReplyReader {

    private final InputStream input;

    StutterReplyReader(InputStream input) {
        this.input = input;
    }

    /**
     * Reads the answer to a call.
     *
     * @param call the call, not null
     * @return the answer, which is not whole where the connection ends within its body
     * @throws IOException if the connection ends before the end of the head
     */
    StutterReply read(StutterCall call) throws IOException {
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
