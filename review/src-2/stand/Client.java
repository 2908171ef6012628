package stand;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection, which it keeps for its next request unless an answer announces its close. */
public final class Client implements AutoCloseable {
    private final InetSocketAddress front;
    private Socket socket;
    private BufferedInputStream in;

    public Client(InetSocketAddress front) {
        this.front = front;
    }

    /** Opens a connection unless one is open. */
    public void open() throws IOException {
        if (socket == null) {
            Socket opened = new Socket();
            opened.connect(front, 1_000);
            opened.setTcpNoDelay(true);
            opened.setSoTimeout(12_000);
            socket = opened;
            in = new BufferedInputStream(opened.getInputStream());
        }
    }

    public boolean isOpen() {
        return socket != null;
    }

    /** Writes a request without reading its answer. */
    public void send(String method, String target, String id, String fields, byte[] body) throws IOException {
        open();
        String head = method + " " + target + " HTTP/1.1\r\nHost: lane.example\r\nRequest-Id: " + id + "\r\n" + fields
                + (body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(bytes, bytes.length + body.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        socket.getOutputStream().write(all);
        socket.getOutputStream().flush();
    }

    /** Reads a whole answer. */
    public Http.Message answer() throws IOException {
        Http.Message answer = Http.whole(in);
        if (answer == null) {
            close();
            throw new IOException("closed without an answer");
        }
        if (answer.field("connection").equalsIgnoreCase("close")) {
            close();
        }
        return answer;
    }

    /** Reads the head of an answer. */
    public Http.Message head() throws IOException {
        Http.Message head = Http.head(in);
        if (head == null) {
            throw new IOException("closed without an answer");
        }
        return head;
    }

    /** Reads a chunk of an answer; an empty one is the last. */
    public byte[] chunk() throws IOException {
        return Http.chunk(in);
    }

    @Override
    public void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // Closed all the same.
            }
            socket = null;
        }
    }
}
