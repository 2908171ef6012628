package org.dogwoodwinch.target.http;

import com.google.errorprone.annotations.MustBeClosed;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.dogwoodwinch.target.Target;

/** Answers the first request of each connection with the next of the given responses and closes the connection. */
final class ScriptedServer implements AutoCloseable {

    private final ServerSocket serverSocket;

    @MustBeClosed
    ScriptedServer(String... answers) throws IOException {
        serverSocket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(() -> serveAnswers(List.of(answers)), "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    Target target() {
        return new Target("t", "127.0.0.1", serverSocket.getLocalPort(), "dc", "g");
    }

    /** Returns a response of lines whose body is terminated by the end of the connection. */
    static String streamResponse(String... lines) {
        return "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nConnection: close\r\n\r\n"
                + String.join("\n", lines) + "\n";
    }

    /** Returns a response with a content length. */
    static String fixedLengthResponse(int status, String contentType, String body) {
        return "HTTP/1.1 " + status + " X\r\nContent-Type: " + contentType + "\r\nContent-Length: " + body.length()
                + "\r\nConnection: close\r\n\r\n" + body;
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
    }

    private void serveAnswers(List<String> answers) {
        try {
            for (String answer : answers) {
                try (Socket socket = serverSocket.accept()) {
                    readRequestHead(socket.getInputStream());
                    socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                    socket.getOutputStream().flush();
                    socket.shutdownOutput();
                    socket.getInputStream().readAllBytes();
                }
            }
        } catch (IOException e) {
            if (!serverSocket.isClosed()) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private static void readRequestHead(InputStream in) throws IOException {
        StringBuilder requestHead = new StringBuilder();
        while (requestHead.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return;
            }
            requestHead.append((char) next);
        }
    }
}
