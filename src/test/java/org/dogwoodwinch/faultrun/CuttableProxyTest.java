package org.dogwoodwinch.faultrun;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.errorprone.annotations.MustBeClosed;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CuttableProxyTest {

    private static final int SILENCE_MILLIS = 100;

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private ServerSocket server;
    private CuttableProxy proxy;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        proxy = new CuttableProxy(group, (InetSocketAddress) server.getLocalSocketAddress());
    }

    @AfterEach
    void close() throws IOException {
        proxy.close();
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void bytesPassUntilItIsCutAndThenNobodyIsTold() throws IOException {
        try (Socket near = connect();
                Socket far = server.accept()) {
            near.getOutputStream().write(7);
            assertEquals(7, far.getInputStream().read());
            proxy.cut();
            near.getOutputStream().write(8);
            far.setSoTimeout(SILENCE_MILLIS);
            assertThrows(
                    SocketTimeoutException.class, () -> far.getInputStream().read());
        }
    }

    @Test
    void connectionsDoNotMix() throws IOException {
        try (Socket first = connect();
                Socket firstFar = server.accept();
                Socket second = connect();
                Socket secondFar = server.accept()) {
            second.getOutputStream().write(2);
            firstFar.getOutputStream().write(1);
            assertEquals(2, secondFar.getInputStream().read());
            assertEquals(1, first.getInputStream().read());
        }
    }

    @Test
    void aConnectionMadeWhileItWasCutIsClosedWhenItIsJoined() throws IOException {
        proxy.cut();
        try (Socket near = connect()) {
            near.setSoTimeout(SILENCE_MILLIS);
            assertThrows(
                    SocketTimeoutException.class, () -> near.getInputStream().read());
            proxy.join();
            near.setSoTimeout(0);
            assertEquals(-1, near.getInputStream().read());
        }
    }

    @MustBeClosed
    private Socket connect() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), proxy.port());
    }
}
