package org.dogwoodwinch.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.net.Transport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class NettyPeerTransportTest {

    private static final int MAX_BYTES = 4_096;

    private final EventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final NettyPeerTransport transport =
            new NettyPeerTransport(Transport.ofNio(eventLoops), MAX_BYTES, Optional.empty(), Optional.empty());
    private final BlockingQueue<Bytes> received = new LinkedBlockingQueue<>();

    @AfterEach
    void closeAll() {
        transport.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Guards against losing the connection to a member for good after it refused one message. */
    @Test
    void deliversMessagesAndReconnectsAfterRefusal() throws InterruptedException {
        int port = transport.listen("127.0.0.1", 0, message -> {
            received.add(message);
            return message.length() != 1;
        });
        PeerMember member = new PeerMember("entry", "127.0.0.1", port, "kakkanad");
        transport.send(member, Bytes.ofUtf8("first"));
        assertEquals(Bytes.ofUtf8("first"), received.poll(10, TimeUnit.SECONDS));
        transport.send(member, Bytes.ofUtf8("x"));
        assertEquals(Bytes.ofUtf8("x"), received.poll(10, TimeUnit.SECONDS));
        Bytes second = null;
        // A message that is sent before the connection's close arrives is lost, as any message may be.
        for (int i = 0; i < 100 && second == null; i++) {
            transport.send(member, Bytes.ofUtf8("second"));
            second = received.poll(100, TimeUnit.MILLISECONDS);
        }
        assertEquals(Bytes.ofUtf8("second"), second);
    }

    @Test
    void doesNotSendOversizedMessage() throws InterruptedException {
        int port = transport.listen("127.0.0.1", 0, received::add);
        transport.send(new PeerMember("entry", "127.0.0.1", port, "kakkanad"), Bytes.of(new byte[MAX_BYTES + 1]));
        assertNull(received.poll(50, TimeUnit.MILLISECONDS));
    }
}
