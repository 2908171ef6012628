package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/**
 * Cuts a stream of events at their ends and remembers the id of the last whole one.
 *
 * <p>Failure: a target crashes in the middle of an event and another goes on after the last whole one; the caller would
 * get half an event, then a new one. So only whole events are passed on.
 */
final class EventFramer {

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private byte[] pending = new byte[0];
    private Optional<String> lastEventId;

    EventFramer(Optional<String> lastEventId) {
        this.lastEventId = Objects.requireNonNull(lastEventId, "lastEventId");
    }

    /** The id after which another target has to go on; empty before the first event. */
    Optional<String> lastEventId() {
        return lastEventId;
    }

    /** Whether bytes of an event came without its end. */
    boolean hasPartialEvent() {
        return pending.length > 0;
    }

    void discardPartial() {
        pending = new byte[0];
    }

    /**
     * Takes a piece and returns what is whole by now.
     *
     * @param piece the next bytes, not null; not consumed
     * @return whole events, empty where none ended
     */
    byte[] append(ByteBuf piece) {
        byte[] buffered = Arrays.copyOf(pending, pending.length + piece.readableBytes());
        piece.getBytes(piece.readerIndex(), buffered, pending.length, piece.readableBytes());
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
