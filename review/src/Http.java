import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.dogwoodwinch.standin.platform.PlatformStandIn;

/** The little HTTP/1.1 that a sound client needs: a request with a length, and its whole answer. */
final class Http {

    /** A whole answer. */
    record Answer(int status, String head, byte[] body) {
        boolean closes() {
            return head.contains("\r\nconnection: close\r\n");
        }
    }

    private Http() {}

    static void send(Socket socket, String path, String id, String headers, byte[] body) throws IOException {
        OutputStream out = socket.getOutputStream();
        String head = "POST " + path + " HTTP/1.1\r\nHost: " + PlatformStandIn.HOST + "\r\nRequest-Id: " + id + "\r\n"
                + headers + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
        byte[] whole = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, whole, 0, headBytes.length);
        System.arraycopy(body, 0, whole, headBytes.length, body.length);
        out.write(whole);
        out.flush();
    }

    static Answer receive(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder read = new StringBuilder();
        while (read.length() < 4 || !read.substring(read.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException(read.length() == 0 ? "closed without an answer" : "closed in a head");
            }
            read.append((char) next);
        }
        String head = read.toString().toLowerCase(Locale.ROOT);
        if (head.contains("\r\ntransfer-encoding: chunked\r\n")) {
            return new Answer(Integer.parseInt(head.substring(9, 12)), head, readChunks(in));
        }
        int length = 0;
        for (String line : head.split("\r\n")) {
            if (line.startsWith("content-length:")) {
                length = Integer.parseInt(line.substring("content-length:".length()).strip());
            }
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("closed in a body");
        }
        return new Answer(Integer.parseInt(head.substring(9, 12)), head, body);
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int size = Integer.parseInt(readLine(in), 16);
        while (size > 0) {
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size) {
                throw new EOFException("closed in a chunk");
            }
            body.writeBytes(chunk);
            readLine(in);
            size = Integer.parseInt(readLine(in), 16);
        }
        readLine(in);
        return body.toByteArray();
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder read = new StringBuilder();
        int next = in.read();
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("closed in a line");
            }
            if (next != '\r') {
                read.append((char) next);
            }
            next = in.read();
        }
        return read.toString();
    }
}
