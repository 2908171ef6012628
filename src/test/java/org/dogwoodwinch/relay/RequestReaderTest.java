package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.forwarding.CallerLimits;
import org.junit.jupiter.api.Test;

class RequestReaderTest {

    private static final int BODY_BYTES = 1_048_576;

    /** Together their bodies fill the heap of the test's process. */
    private static final int CONNECTIONS_COUNT = (int) (Runtime.getRuntime().maxMemory() / BODY_BYTES) + 100;

    /** Failure: kept connections hold the memory of their largest request, and the heap of the process is full. */
    @Test
    void keptConnectionHoldsNoMemoryOfRequestsThatHaveEnded() {
        BodyMemory bodyMemory = new BodyMemory(BODY_BYTES);
        ByteBuf body = Unpooled.wrappedBuffer(new byte[BODY_BYTES]);
        List<RequestReader> keptReaders = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS_COUNT; i++) {
            RequestReader reader = new RequestReader(bodyMemory, () -> CallerLimits.DEFAULT);
            HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/once/a");
            head.headers().set("host", "desk.example").set("content-length", BODY_BYTES);
            assertEquals(Optional.empty(), reader.readHead(head));
            assertEquals(Optional.empty(), reader.readContent(new DefaultLastHttpContent(body.duplicate())));

            IncomingCall call = reader.take(0).call();

            assertEquals(BODY_BYTES, call.body().length());
            reader.release(call);
            keptReaders.add(reader);
        }
        assertEquals(CONNECTIONS_COUNT, keptReaders.size());
    }
}
