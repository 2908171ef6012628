package org.dogwoodwinch.standin.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Calls that the demo and the rehearsal send. */
final class DemoCalls {

    private DemoCalls() {}

    static String request(String path, TargetFault fault, String id) {
        return "POST " + path + " HTTP/1.1\r\nHost: " + PlatformStandIn.HOST + "\r\nRequest-Id: " + id
                + "\r\nX-Api-Key: " + PlatformStandIn.KEY + "\r\nx-fault: "
                + (fault == TargetFault.NONE ? "" : fault.name())
                + "\r\nModel: m\r\nToken-Count: 2000,8\r\nPrompt-Prefix: 5c:1500,91:500\r\n"
                + "Connection: close\r\nContent-Length: 5\r\n\r\nhello";
    }

    static String ask(int port, String request) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    static boolean ready(int port) throws IOException {
        return ask(port, "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .startsWith("HTTP/1.1 200 ");
    }
}
