package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.settings.ForwardingSettings;
import org.dogwoodwinch.settings.SettingsLoader;
import org.dogwoodwinch.standin.platform.PlatformStandIn;

/** Settings of daemons in tests, and what callers and operators exchange with them over real sockets. */
final class DaemonSockets {

    private static final int MAX_READY_CHECKS = 20_000;

    private DaemonSockets() {}

    /** Returns the settings of an instance that listens on free ports; {@code sections} are further ones, in JSON. */
    static ForwardingSettings createSettings(String name, PlatformStandIn platform, String sections) {
        return createSettings(name, platform.storeAddress(), sections);
    }

    /** Returns the settings of an instance with a store at an address, which need not exist. */
    static ForwardingSettings createSettings(String name, String storeAddress, String sections) {
        String json = "{\"instance\":{\"name\":\"" + name + "\",\"dataCentre\":\"dc-1\"},\"forwarding\":{"
                + "\"listen\":\"127.0.0.1:0\",\"readyListen\":\"127.0.0.1:0\",\"metricsListen\":\"127.0.0.1:0\"},"
                + "\"store\":{\"address\":\"" + storeAddress + "\"},"
                + "\"peers\":{\"listen\":\"127.0.0.1:0\"}," + sections + "}";
        return SettingsLoader.parse("test", json)
                .match(loaded -> assertInstanceOf(ForwardingSettings.class, loaded), problems -> {
                    throw new AssertionError(problems);
                });
    }

    /** Asks a daemon until it is ready, and returns whether it is. */
    static boolean awaitReady(ForwardingDaemon daemon) throws IOException {
        for (int i = 0; i < MAX_READY_CHECKS; i++) {
            if (exchange(daemon.readyPort(), "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    .startsWith("HTTP/1.1 200 ")) {
                return true;
            }
        }
        return false;
    }

    /** Opens a connection and writes a request. */
    static Socket open(int port, String request) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    /** Reads a connection to its end. */
    static String read(Socket socket) throws IOException {
        try (socket) {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    /** Sends a request on a connection of its own and returns all that is answered. */
    static String exchange(int port, String request) throws IOException {
        return read(open(port, request));
    }

    static void shutDown(Transport transport) {
        transport.eventLoopGroup().shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
