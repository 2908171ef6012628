package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/**
 * Splits an event stream at event boundaries and records the id of the last complete event.
 *
 * <p>Failure: a target crashes within an event and another one resumes after the last complete event, so the caller
 * would receive a partial event followed by a new one. Only complete events are passed on.
 */
final class EventFramer {

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private byte[] pending = new byte[0];
    private Optional<String> lastEventId;

    EventFramer(Optional<String> lastEventId) {
        this.lastEventId = Objects.requireNonNull(lastEventId, "lastEventId");
    }

    /** Returns the id of the event after which another target has to resume; empty before the first event. */
    Optional<String> lastEventId() {
        return lastEventId;
    }

    /** Returns whether an incomplete event is buffered. */
    boolean hasPartialEvent() {
        return pending.length > 0;
    }

    void discardPartial() {
        pending = new byte[0];
    }

    /**
     * Appends bytes of the stream and returns the events that are now complete.
     *
     * @param chunk the next bytes, not null; its reader index is not changed
     * @return the bytes of complete events; empty if none is complete
     */
    byte[] append(ByteBuf chunk) {
        byte[] buffered = Arrays.copyOf(pending, pending.length + chunk.readableBytes());
        chunk.getBytes(chunk.readerIndex(), buffered, pending.length, chunk.readableBytes());
        int end = 0;
        int lineStart = 0;
        Optional<String> idOfEvent = Optional.empty();
        for (int i = 0; i < buffered.length; i++) {
            if (buffered[i] != '\n') {
                continue;
            }
            int lineEnd = i > lineStart && buffered[i - 1] == '\r' ? i - 1 : i;
            if (lineEnd == lineStart) {
                end = i + 1;
                lastEventId = idOfEvent.isPresent() ? idOfEvent : lastEventId;
                idOfEvent = Optional.empty();
            } else {
                Optional<String> id = parseId(buffered, lineStart, lineEnd);
                idOfEvent = id.isPresent() ? id : idOfEvent;
            }
            lineStart = i + 1;
        }
        byte[] whole = Arrays.copyOf(buffered, end);
        pending = Arrays.copyOfRange(buffered, end, buffered.length);
        return whole;
    }

    private static Optional<String> parseId(byte[] buffered, int start, int end) {
        if (end - start < ID_FIELD.length
                || !Arrays.equals(buffered, start, start + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length)) {
            return Optional.empty();
        }
        int valueStart = start + ID_FIELD.length;
        return Optional.of(new String(buffered, valueStart, end - valueStart, StandardCharsets.UTF_8).strip());
    }
}
