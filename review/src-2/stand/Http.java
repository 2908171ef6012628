package stand;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The small part of HTTP/1.1 that the stand-ins need. */
public final class Http {
    private Http() {}

    /** A request or an answer: its first line, its fields with names in lower case, and its body. */
    public record Message(String firstLine, Map<String, String> fields, byte[] body) {
        public String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        public String method() {
            return firstLine.split(" ")[0];
        }

        public String target() {
            return firstLine.split(" ")[1];
        }

        public String path() {
            return target().split("\\?")[0];
        }

        public String query(String name) {
            String[] parts = target().split("\\?", 2);
            if (parts.length == 2) {
                for (String each : parts[1].split("&")) {
                    if (each.startsWith(name + "=")) {
                        return java.net.URLDecoder.decode(each.substring(name.length() + 1), StandardCharsets.UTF_8);
                    }
                }
            }
            return "";
        }

        public int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        public String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Reads a line without its end; null at the end of the input. */
    public static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        if (next < 0) {
            throw new IOException("ended inside a line");
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the first line and the fields; null if the input ends before. */
    public static Message head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String each = line(in); each != null && !each.isEmpty(); each = line(in)) {
            int colon = each.indexOf(':');
            fields.put(each.substring(0, colon).toLowerCase(Locale.ROOT), each.substring(colon + 1).strip());
        }
        return new Message(first, fields, new byte[0]);
    }

    /** Reads a whole message that states its length or comes in chunks; null if the input ends before. */
    public static Message whole(InputStream in) throws IOException {
        Message head = head(in);
        if (head == null) {
            return null;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
            for (byte[] chunk = chunk(in); chunk.length > 0; chunk = chunk(in)) {
                body.writeBytes(chunk);
            }
        } else if (!head.field("content-length").isEmpty()) {
            int length = Integer.parseInt(head.field("content-length"));
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new IOException("ended inside a body");
            }
            body.writeBytes(bytes);
        }
        return new Message(head.firstLine(), head.fields(), body.toByteArray());
    }

    /** Reads a chunk of a body; an empty one is the last. */
    public static byte[] chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) {
            throw new IOException("ended between chunks");
        }
        int length = Integer.parseInt(size.strip(), 16);
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("ended inside a chunk");
        }
        line(in);
        return bytes;
    }

    /** Writes an answer with its length. */
    public static void answer(OutputStream out, int status, Map<String, String> fields, byte[] body)
            throws IOException {
        out.write(headOf(status, fields, "content-length: " + body.length + "\r\n"));
        out.write(body);
        out.flush();
    }

    /** Returns the head of an answer. */
    public static byte[] headOf(int status, Map<String, String> fields, String framing) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        return (head + framing + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }
}
