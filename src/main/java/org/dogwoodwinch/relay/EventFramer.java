package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/**
 * Splits an event stream at event boundaries and records the id of the last complete event.
 *
 * <p>Failure: a target crashes within an event. If another one resumes after the last complete event, the caller would
 * receive a partial event followed by a new one; if the stream ends there, the caller would take it for a complete one.
 * Only complete events are passed on.
 *
 * <p>A line ends with LF, CR, or CR and LF, and an event ends with an empty line.
 */
final class EventFramer {

    /** Size of an incomplete event at which the stream is given up, since it is held in memory. */
    private static final int MAX_EVENT_BYTES = 262_144;

    /** Fits a long. */
    private static final int MAX_ID_DIGITS = 18;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};

    private byte[] pending = new byte[0];
    private Optional<String> lastEventId;
    private int eventsCount;
    private boolean hasRepeatedEvent;
    private boolean atStreamStart = true;
    private boolean hasCrLf;
    private boolean mayEndWithLf;

    EventFramer(Optional<String> lastEventId) {
        this.lastEventId = Objects.requireNonNull(lastEventId, "lastEventId");
    }

    /** Returns the id of the event after which another target has to resume; empty before the first event. */
    Optional<String> lastEventId() {
        return lastEventId;
    }

    /** Returns the number of complete events of the current response. */
    int eventsCount() {
        return eventsCount;
    }

    /**
     * Returns whether the response, which should go on after the last event, began with an event that was passed on
     * before, because its target does not know of the others. Nothing of it is passed on.
     */
    boolean hasRepeatedEvent() {
        return hasRepeatedEvent;
    }

    /** Returns whether the bytes so far end inside an event or a line. Complete lines of comment are not an event. */
    boolean isInsideEvent() {
        int start = skipByteOrderMark();
        while (start < pending.length) {
            int lineEnd = findLineEnd(pending, start);
            int next = lineEnd < 0 ? -1 : skipLineEnd(pending, lineEnd);
            if (next < 0 || pending[start] != ':') {
                return true;
            }
            start = next;
        }
        return false;
    }

    /** Returns whether the current event is too long to be held until its end. */
    boolean isEventTooLong() {
        return pending.length > MAX_EVENT_BYTES;
    }

    /** Returns the bytes that follow the last event, which are comments, and clears them. */
    byte[] takeTrailing() {
        byte[] trailing = pending;
        pending = new byte[0];
        return trailing;
    }

    /** Begins another response, which continues after the last complete event. */
    void beginResponse() {
        pending = new byte[0];
        eventsCount = 0;
        hasRepeatedEvent = false;
        atStreamStart = true;
        hasCrLf = false;
        mayEndWithLf = false;
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
        pending = buffered;
        int end = takeSecondHalfOfLineEnd();
        int lineStart = end == 0 ? skipByteOrderMark() : end;
        boolean hasField = false;
        Optional<String> idOfEvent = Optional.empty();
        while (lineStart < buffered.length) {
            int lineEnd = findLineEnd(buffered, lineStart);
            int next = lineEnd < 0 ? -1 : skipLineEnd(buffered, lineEnd);
            if (next < 0) {
                break;
            }
            if (lineEnd == lineStart) {
                hasRepeatedEvent |= eventsCount == 0 && isPassedOn(idOfEvent);
                if (hasRepeatedEvent) {
                    break;
                }
                end = next;
                lastEventId = idOfEvent.isPresent() ? idOfEvent : lastEventId;
                eventsCount += hasField ? 1 : 0;
                idOfEvent = Optional.empty();
                hasField = false;
            } else if (buffered[lineStart] != ':') {
                Optional<String> id = parseId(buffered, lineStart, lineEnd);
                idOfEvent = id.isPresent() ? id : idOfEvent;
                hasField = true;
            }
            lineStart = next;
        }
        return takeUntil(end);
    }

    /** Returns whether an id is not after the last one; ids increase, and those that are no numbers are not compared. */
    private boolean isPassedOn(Optional<String> id) {
        boolean comparable = id.filter(EventFramer::isNumber).isPresent()
                && lastEventId.filter(EventFramer::isNumber).isPresent();
        return comparable && Long.parseLong(id.get()) <= Long.parseLong(lastEventId.get());
    }

    private static boolean isNumber(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_ID_DIGITS
                && text.chars().allMatch(digit -> digit >= '0' && digit <= '9');
    }

    private byte[] takeUntil(int end) {
        byte[] whole = Arrays.copyOf(pending, end);
        pending = Arrays.copyOfRange(pending, end, pending.length);
        if (end > 0) {
            atStreamStart = false;
            mayEndWithLf = whole[end - 1] == '\r';
        }
        return whole;
    }

    /** Returns the length of an LF that belongs to the CR at the end of the bytes that were passed on last. */
    private int takeSecondHalfOfLineEnd() {
        if (!mayEndWithLf || pending.length == 0) {
            return 0;
        }
        mayEndWithLf = false;
        boolean startsWithLf = pending[0] == '\n';
        hasCrLf |= startsWithLf;
        return startsWithLf ? 1 : 0;
    }

    private int skipByteOrderMark() {
        boolean begins = atStreamStart
                && pending.length >= BYTE_ORDER_MARK.length
                && Arrays.equals(pending, 0, BYTE_ORDER_MARK.length, BYTE_ORDER_MARK, 0, BYTE_ORDER_MARK.length);
        return begins ? BYTE_ORDER_MARK.length : 0;
    }

    private static int findLineEnd(byte[] bytes, int from) {
        int i = from;
        while (i < bytes.length && bytes[i] != '\n' && bytes[i] != '\r') {
            i++;
        }
        return i < bytes.length ? i : -1;
    }

    /**
     * Returns the start of the next line; -1 if the line end is incomplete. A CR at the end of the bytes is a whole line
     * end unless lines of this stream end with CR and LF.
     */
    private int skipLineEnd(byte[] bytes, int lineEnd) {
        if (bytes[lineEnd] == '\n') {
            return lineEnd + 1;
        }
        if (lineEnd + 1 == bytes.length) {
            return hasCrLf ? -1 : lineEnd + 1;
        }
        boolean endsWithLf = bytes[lineEnd + 1] == '\n';
        hasCrLf |= endsWithLf;
        return endsWithLf ? lineEnd + 2 : lineEnd + 1;
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
