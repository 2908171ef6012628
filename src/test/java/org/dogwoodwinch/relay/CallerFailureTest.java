package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.relay.UnansweredRequest.Cause;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

/** Faults of this instance while it serves a caller, and closes with requests that were read. */
class CallerFailureTest {

    private static final String BAD_GATEWAY = "HTTP/1.1 502 ";
    private static final String OK = "HTTP/1.1 200 ";
    private static final String CLOSE_HEADER = "connection: close";

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final FakeRequestHandler handler = new FakeRequestHandler();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final CallerConnection connection = CallerPipeline.install(channel, handler, time);
    private final List<CallerResponse> callers = new ArrayList<>();
    private Runnable latestDone = () -> {};
    private Runnable lateDone = () -> {};
    private int closedCallsCount;

    /** Takes calls without an answer. */
    private ActiveCall take(IncomingCall _call, CallerResponse caller, Runnable onDone) {
        callers.add(caller);
        latestDone = onDone;
        return new ActiveCall() {
            @Override
            public void onCallerClosed() {
                closedCallsCount++;
                onDone.run();
            }

            @Override
            public Optional<StoppedCall> onInstanceStop() {
                return Optional.empty();
            }

            @Override
            public void onCallerWritable() {
                throw new IllegalStateException("broken callback");
            }
        };
    }

    private static ActiveCall fail(IncomingCall _call, CallerResponse _caller, Runnable _onDone) {
        throw new IllegalStateException("broken handler");
    }

    private void send(String... ids) {
        StringBuilder requests = new StringBuilder();
        for (String id : ids) {
            requests.append(RelayFixture.postRequest("/once/a", id, "", "body"));
        }
        channel.pipeline().fireChannelRead(Unpooled.copiedBuffer(requests, StandardCharsets.ISO_8859_1));
        channel.pipeline().fireChannelReadComplete();
        channel.runPendingTasks();
    }

    private String takeReceived() {
        channel.runPendingTasks();
        StringBuilder text = new StringBuilder();
        ByteBuf next = channel.readOutbound();
        while (next != null) {
            text.append(next.toString(StandardCharsets.ISO_8859_1));
            next.release();
            next = channel.readOutbound();
        }
        return text.toString();
    }

    private static int count(String part, String text) {
        return text.split(part, -1).length - 1;
    }

    private void assertBodyMemoryIsFree() {
        assertTrue(handler.bodyMemory.tryReserve(FakeRequestHandler.MAX_BODY_MEMORY_BYTES));
        assertFalse(handler.bodyMemory.tryReserve(1));
    }

    @Test
    void requestWhoseHandlerFailsIsAnswered() {
        handler.behaviour = CallerFailureTest::fail;

        send("a1");

        assertTrue(takeReceived().startsWith(BAD_GATEWAY));
        assertBodyMemoryIsFree();
    }

    /** Failure: memory for one part of a stream cannot be allocated, and the rest of the stream looks complete. */
    @Test
    void responseWithPartThatCouldNotBeWrittenIsBrokenOff() {
        handler.behaviour = this::take;
        send("a1");
        CallerResponse caller = callers.get(0);
        caller.beginResponse(200, new DefaultHttpHeaders());
        channel.pipeline().addFirst("full", new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(ChannelHandlerContext _context, Object message, ChannelPromise promise) {
                ReferenceCountUtil.release(message);
                promise.setFailure(new IllegalStateException("no memory"));
            }
        });

        caller.writeBody(Unpooled.copiedBuffer("lost part", StandardCharsets.ISO_8859_1));

        assertFalse(channel.isActive());
        caller.endResponse();
        assertEquals(0, count("0\r\n\r\n", takeReceived()));
        assertEquals(
                UnansweredRequest.Cause.OWN_ERROR, handler.unanswered.get(0).cause());
        assertBodyMemoryIsFree();
    }

    /** Failure: the second request's handler fails outside the reading of bytes, and its caller waits for ever. */
    @Test
    void queuedRequestWhoseHandlerFailsIsAnswered() {
        handler.behaviour = this::take;
        send("a1", "b2", "c3");
        handler.behaviour = (call, caller, onDone) -> {
            handler.behaviour = (_call, last, lastDone) -> FakeRequestHandler.answer(200, last, lastDone);
            return fail(call, caller, onDone);
        };

        FakeRequestHandler.answer(200, callers.get(0), latestDone);

        String received = takeReceived();
        assertEquals(2, count(OK, received), received);
        assertEquals(1, count(BAD_GATEWAY, received), received);
    }

    /** Failure: what the handler started before it failed answers later, and the answer is read as that of the next request. */
    @Test
    void lateAnswerToFailedRequestIsNotSent() {
        handler.behaviour = (_call, caller, onDone) -> {
            callers.add(caller);
            lateDone = onDone;
            throw new IllegalStateException("broken handler");
        };
        send("a1");
        String first = takeReceived();
        handler.behaviour = this::take;
        if (channel.isActive()) {
            send("b2");
        }

        FakeRequestHandler.answer(200, callers.get(0), lateDone);

        assertTrue(first.startsWith(BAD_GATEWAY), first);
        assertEquals("", takeReceived());
    }

    @Test
    void callUnderWayIsAnsweredWhenCallbackFails() {
        handler.behaviour = this::take;
        send("a1");

        channel.pipeline().fireChannelWritabilityChanged();

        assertTrue(takeReceived().startsWith(BAD_GATEWAY));
        assertEquals(1, closedCallsCount);
        assertBodyMemoryIsFree();
    }

    @Test
    void begunResponseIsBrokenOffWhenCallbackFails() {
        handler.behaviour = this::take;
        send("a1");
        callers.get(0).beginResponse(200, new DefaultHttpHeaders());
        callers.get(0).writeBody(Unpooled.copiedBuffer("part", StandardCharsets.ISO_8859_1));

        channel.pipeline().fireChannelWritabilityChanged();

        String received = takeReceived();
        assertTrue(received.startsWith(OK) && received.endsWith("4\r\npart\r\n"), received);
        assertFalse(channel.isActive());
        assertEquals(1, closedCallsCount);
    }

    @Test
    void requestsReadBeforeOwnErrorAreAnswered() {
        handler.behaviour = this::take;
        send("a1", "b2", "c3");
        handler.behaviour = (_call, caller, onDone) -> FakeRequestHandler.answer(200, caller, onDone);

        channel.pipeline().fireExceptionCaught(new OutOfMemoryError("direct memory"));

        String received = takeReceived();
        assertTrue(received.startsWith(BAD_GATEWAY), received);
        assertEquals(2, count(OK, received), received);
        assertEquals(1, count(CLOSE_HEADER, received), received);
        assertFalse(channel.isActive());
    }

    @Test
    void callerWhoseSocketFailsHasLeft() {
        handler.behaviour = this::take;
        send("a1");

        channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));

        assertEquals("", takeReceived());
        assertFalse(channel.isActive());
        assertEquals(1, closedCallsCount);
        assertBodyMemoryIsFree();
    }

    @Test
    void bodyMemoryIsFreeWhenCallFailsAtCallersEnd() {
        handler.behaviour = (_call, _caller, _onDone) -> new ActiveCall() {
            @Override
            public void onCallerClosed() {
                throw new IllegalStateException("broken callback");
            }

            @Override
            public Optional<StoppedCall> onInstanceStop() {
                return Optional.empty();
            }

            @Override
            public void onCallerWritable() {}
        };
        send("a1", "b2");

        channel.close().syncUninterruptibly();

        assertBodyMemoryIsFree();
    }

    /** Failure: requests that were read behind the one that is answered with a close get no answer. */
    @Test
    void pipelinedRequestsAreAnsweredBeforeCloseAtStop() {
        handler.draining = true;

        send("a1", "b2", "c3");

        String received = takeReceived();
        assertEquals(3, count(OK, received), received);
        assertEquals(1, count(CLOSE_HEADER, received), received);
        assertTrue(received.lastIndexOf(CLOSE_HEADER) > received.lastIndexOf(OK), received);
        assertFalse(channel.isActive());
    }

    @Test
    void requestIsAnsweredWhoseRestArrivesAfterAnswerAtStop() {
        handler.draining = true;
        String second = RelayFixture.postRequest("/once/b", "b2", "", "body");
        String both = RelayFixture.postRequest("/once/a", "a1", "", "body") + second;
        channel.writeInbound(Unpooled.copiedBuffer(both.substring(0, both.length() - 2), StandardCharsets.ISO_8859_1));
        assertEquals(0, count(CLOSE_HEADER, takeReceived()));

        channel.writeInbound(Unpooled.copiedBuffer(both.substring(both.length() - 2), StandardCharsets.ISO_8859_1));

        String received = takeReceived();
        assertTrue(received.startsWith(OK) && received.contains(CLOSE_HEADER), received);
        assertFalse(channel.isActive());
    }

    @Test
    void requestsAreAnsweredWhenConnectionClosesAtEndOfStop() {
        handler.behaviour = this::take;
        send("a1", "b2", "c3");
        handler.behaviour = (_call, caller, onDone) -> FakeRequestHandler.answer(503, caller, onDone);

        connection.close();

        String received = takeReceived();
        assertTrue(received.startsWith(BAD_GATEWAY), received);
        assertEquals(2, count("HTTP/1.1 503 ", received), received);
        assertEquals(1, count(CLOSE_HEADER, received), received);
        assertFalse(channel.isActive());
        assertEquals(List.of(), handler.unanswered);
    }

    @Test
    void handlerThatEndsCallWithoutResponseIsAnswered() {
        handler.behaviour = this::take;
        send("a1");

        latestDone.run();

        assertTrue(takeReceived().startsWith(BAD_GATEWAY));
    }

    /** Failure: a request ends without an answer, and nothing tells who ended it. */
    @Test
    void eachRequestWithoutAnswerIsRecordedOnceWithItsCause() {
        handler.behaviour = this::take;
        send("a1", "b2");
        channel.close().syncUninterruptibly();
        assertEquals(List.of(Cause.CALLER, Cause.CALLER), causesInOrder());
        assertEquals(
                List.of(false, true),
                handler.unanswered.stream().map(UnansweredRequest::passedOn).toList());
    }

    @Test
    void causeOfBrokenOffResponseIsRecorded() {
        handler.behaviour = this::take;
        send("a1", "b2");
        callers.get(0).beginResponse(200, new DefaultHttpHeaders());
        callers.get(0).abortResponse();
        assertEquals(List.of(Cause.DROPPED_AT_CLOSE, Cause.ABORTED_AFTER_BEGIN), causesInOrder());
    }

    @Test
    void causeOfResponseBrokenOffAtEndOfStopIsRecorded() {
        handler.behaviour = this::take;
        send("a1");
        callers.get(0).beginResponse(200, new DefaultHttpHeaders());
        connection.close();
        assertEquals(List.of(Cause.STOP), causesInOrder());
        assertEquals(1, closedCallsCount);
    }

    @Test
    void answeredRequestIsNotRecorded() {
        send("a1", "b2");
        channel.close().syncUninterruptibly();
        assertEquals(List.of(), handler.unanswered);
    }

    private List<Cause> causesInOrder() {
        return handler.unanswered.stream().map(UnansweredRequest::cause).toList();
    }

    @Test
    void completeAnswerIsKeptWhenConnectionCloses() {
        send("a1");
        connection.close();

        String received = takeReceived();
        assertTrue(received.endsWith("answer"), received);
        assertFalse(channel.isActive());
    }
}
