package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.CallerLimits;

/** Puts the parts of requests of one connection together, within the limits. Confined to the event loop. */
final class RequestReader {

    private final BodyMemory bodyMemory;
    private final Supplier<CallerLimits> limits;
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private HttpRequest head;
    private int maxBodyBytes;
    private int reservedBytes;

    /**
     * Creates a reader.
     *
     * @param bodyMemory the common limit of all request bodies, not null
     * @param limits supplies the limits in force when the request that is being read has begun, not null
     */
    RequestReader(BodyMemory bodyMemory, Supplier<CallerLimits> limits) {
        this.bodyMemory = Objects.requireNonNull(bodyMemory, "bodyMemory");
        this.limits = Objects.requireNonNull(limits, "limits");
    }

    /** Returns whether the head of a request was read whose body is not complete. */
    boolean isInBody() {
        return head != null;
    }

    /** Forgets the request that is being read. */
    void abandon() {
        head = null;
        body = new ByteArrayOutputStream();
    }

    /**
     * Reads the head of a request.
     *
     * @param request the decoded head, not null
     * @return why the request cannot be read; empty if its body follows
     */
    Optional<ReceivedRequest.Unreadable> readHead(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
            return unreadable(
                    tooLong ? LocalResponses.HEADERS_TOO_LARGE : LocalResponses.BAD_REQUEST, "malformed head");
        }
        if (!RequestValidator.isWellFormed(request)) {
            return unreadable(LocalResponses.BAD_REQUEST, "malformed request");
        }
        maxBodyBytes = limits.get().maxBodyBytes();
        if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes) {
            return unreadable(LocalResponses.TOO_LARGE, "body too large");
        }
        head = request;
        body = new ByteArrayOutputStream();
        return Optional.empty();
    }

    /**
     * Reads a part of the body.
     *
     * @param content the decoded part, not null
     * @return why the request cannot be read; empty if it is complete or more follows
     */
    Optional<ReceivedRequest.Unreadable> readContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            return unreadable(LocalResponses.BAD_REQUEST, "malformed body");
        }
        ByteBuf bytes = content.content();
        if (body.size() + bytes.readableBytes() > maxBodyBytes) {
            return unreadable(LocalResponses.TOO_LARGE, "body too large");
        }
        if (!bodyMemory.tryReserve(bytes.readableBytes())) {
            return unreadable(LocalResponses.UNAVAILABLE, "too many large requests");
        }
        reservedBytes += bytes.readableBytes();
        try {
            bytes.getBytes(bytes.readerIndex(), body, bytes.readableBytes());
        } catch (IOException e) {
            throw new IllegalStateException("writing to a byte array failed", e);
        }
        return Optional.empty();
    }

    /** Returns whether a part of a body is the last one of a request that can be read. */
    boolean isComplete(HttpContent content) {
        return head != null && content instanceof LastHttpContent;
    }

    /**
     * Takes the complete request. If that fails, {@link #isInBody} still holds.
     *
     * @param arrivalMillis when its first byte arrived, in monotonic milliseconds
     * @return the request
     */
    ReceivedRequest.Complete take(long arrivalMillis) {
        IncomingCall call = new IncomingCall(
                head.method(),
                head.uri(),
                head.headers(),
                Bytes.of(body.toByteArray()),
                HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head),
                arrivalMillis);
        ReceivedRequest.Complete complete = new ReceivedRequest.Complete(
                call, HttpUtil.isKeepAlive(head), head.protocolVersion().equals(HttpVersion.HTTP_1_0));
        // A stream that is reset keeps its array, up to twice the body, for as long as the connection stays open.
        body = new ByteArrayOutputStream();
        head = null;
        return complete;
    }

    /** Releases the memory of the body of a request that has ended. */
    void release(IncomingCall call) {
        release(call.body().length());
    }

    /** Releases the memory of all bodies, as the connection has ended. */
    void releaseAll() {
        release(reservedBytes);
    }

    private void release(int bytes) {
        reservedBytes -= bytes;
        bodyMemory.release(bytes);
    }

    private static Optional<ReceivedRequest.Unreadable> unreadable(int status, String reason) {
        return Optional.of(new ReceivedRequest.Unreadable(status, reason));
    }
}
