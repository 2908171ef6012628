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
 * <p>A line ends with LF, CR, or CR and LF, and an event ends with an empty line. Each byte is looked at once, however small
 * the pieces are in which an event arrives.
 */
final class EventFramer {

    /** Size of an incomplete event at which the stream is given up, since it is held in memory. */
    private static final int MAX_EVENT_BYTES = 262_144;

    /** Fits a long. */
    private static final int MAX_ID_DIGITS = 18;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] ANSWER_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};

    private static final int FIRST_CAPACITY_BYTES = 256;

    /** The bytes after the last complete event. */
    private byte[] pending = new byte[FIRST_CAPACITY_BYTES];

    private int pendingLength;

    /** Where the first line begins whose end has not been seen. */
    private int lineStart;

    /** Up to where no end of that line was found. */
    private int searchedUntil;

    /** Whether the current event has a line that is no comment. */
    private boolean hasField;

    private Optional<String> idOfEvent = Optional.empty();
    private Optional<String> lastEventId;
    private Optional<String> firstEventId = Optional.empty();
    private int eventsCount;
    private boolean hasRepeatedEvent;
    private boolean hasOtherAnswer;
    private boolean atStreamStart = true;
    private boolean hasPassedOn;
    private boolean hasCrLf;
    private boolean mayEndWithLf;

    EventFramer(Optional<String> lastEventId) {
        this.lastEventId = Objects.requireNonNull(lastEventId, "lastEventId");
    }

    /** Returns the id of the event after which another target has to resume; empty before the first event. */
    Optional<String> lastEventId() {
        return lastEventId;
    }

    /** Returns the id of the first event of the current response; empty before it, or if it has none. */
    Optional<String> firstEventId() {
        return firstEventId;
    }

    /** Returns the number of complete events of the current response. */
    int eventsCount() {
        return eventsCount;
    }

    /**
     * Returns whether the response has an event that is not after the last one that was passed on: its target began anew
     * instead of going on, or went back. Nothing is passed on from this event on.
     */
    boolean hasRepeatedEvent() {
        return hasRepeatedEvent;
    }

    /**
     * Returns whether the head of another answer stands where an event should begin. Nothing is passed on from there on.
     *
     * <p>Failure: a target writes another answer after one that ends with its connection. No framing separates them, and the
     * caller gets the events of both as one stream.
     */
    boolean hasOtherAnswer() {
        return hasOtherAnswer;
    }

    /** Returns whether the bytes so far end inside an event or a line. Complete lines of comment are not an event. */
    boolean isInsideEvent() {
        return hasField || (lineStart < pendingLength && !endsWithCommentAndCr());
    }

    /** Returns whether the last line is a comment whose end is a CR alone, after which an LF may still follow. */
    private boolean endsWithCommentAndCr() {
        return !hasCrLf && pending[lineStart] == ':' && searchedUntil == pendingLength - 1;
    }

    /** Returns whether the current event is too long to be held until its end. */
    boolean isEventTooLong() {
        return pendingLength > MAX_EVENT_BYTES;
    }

    /** Returns the bytes that follow the last event, which are comments, and clears them. */
    byte[] takeTrailing() {
        byte[] trailing = Arrays.copyOf(pending, pendingLength);
        clearPending();
        return trailing;
    }

    /** Begins another response, which continues after the last complete event. */
    void beginResponse() {
        clearPending();
        eventsCount = 0;
        firstEventId = Optional.empty();
        hasRepeatedEvent = false;
        hasOtherAnswer = false;
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
        addPending(chunk);
        dropByteOrderMarkInsideStream();
        int end = takeSecondHalfOfLineEnd();
        lineStart = Math.max(lineStart, end == 0 ? byteOrderMarkLength() : end);
        while (lineStart < pendingLength) {
            int lineEnd = findLineEnd();
            int next = lineEnd < 0 ? -1 : skipLineEnd(lineEnd, lineEnd == lineStart);
            if (next < 0) {
                break;
            }
            if (lineEnd == lineStart) {
                hasRepeatedEvent |= isPassedOn(idOfEvent);
                if (hasRepeatedEvent) {
                    break;
                }
                end = next;
                endEvent();
            } else if (!hasField && startsWith(ANSWER_START, lineStart, lineEnd)) {
                hasOtherAnswer = true;
                break;
            } else if (pending[lineStart] != ':') {
                Optional<String> id = parseId(lineStart, lineEnd);
                idOfEvent = id.isPresent() ? id : idOfEvent;
                hasField = true;
            }
            lineStart = next;
        }
        return takeUntil(end);
    }

    private void addPending(ByteBuf chunk) {
        int length = chunk.readableBytes();
        if (pendingLength + length > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(2 * pending.length, pendingLength + length));
        }
        chunk.getBytes(chunk.readerIndex(), pending, pendingLength, length);
        pendingLength += length;
    }

    private void clearPending() {
        pending = new byte[FIRST_CAPACITY_BYTES];
        pendingLength = 0;
        lineStart = 0;
        searchedUntil = 0;
        hasField = false;
        idOfEvent = Optional.empty();
    }

    private void endEvent() {
        lastEventId = idOfEvent.isPresent() ? idOfEvent : lastEventId;
        firstEventId = hasField && eventsCount == 0 ? idOfEvent : firstEventId;
        eventsCount += hasField ? 1 : 0;
        idOfEvent = Optional.empty();
        hasField = false;
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
        if (end > 0) {
            pendingLength -= end;
            System.arraycopy(pending, end, pending, 0, pendingLength);
            lineStart -= end;
            searchedUntil = Math.max(0, searchedUntil - end);
            atStreamStart = false;
            hasPassedOn = true;
            mayEndWithLf = whole[end - 1] == '\r';
        }
        return whole;
    }

    /** Returns the length of an LF that belongs to the CR at the end of the bytes that were passed on last. */
    private int takeSecondHalfOfLineEnd() {
        if (!mayEndWithLf || pendingLength == 0) {
            return 0;
        }
        mayEndWithLf = false;
        boolean startsWithLf = pending[0] == '\n';
        hasCrLf |= startsWithLf;
        return startsWithLf ? 1 : 0;
    }

    /**
     * Drops the mark with which a response begins that goes on with the stream. Inside the stream, its caller would take it
     * for a part of the next line and miss the id of that event.
     */
    private void dropByteOrderMarkInsideStream() {
        int length = hasPassedOn ? byteOrderMarkLength() : 0;
        if (length > 0) {
            pendingLength -= length;
            System.arraycopy(pending, length, pending, 0, pendingLength);
            searchedUntil = 0;
            atStreamStart = false;
        }
    }

    private int byteOrderMarkLength() {
        boolean begins = atStreamStart && startsWith(BYTE_ORDER_MARK, 0, pendingLength);
        return begins ? BYTE_ORDER_MARK.length : 0;
    }

    private int findLineEnd() {
        int i = Math.max(lineStart, searchedUntil);
        while (i < pendingLength && pending[i] != '\n' && pending[i] != '\r') {
            i++;
        }
        searchedUntil = i;
        return i < pendingLength ? i : -1;
    }

    /**
     * Returns the start of the next line; -1 if the line end may be incomplete. A CR at the end of the bytes is taken for a
     * whole line end only after an empty line, so that an event is passed on at once, and only unless lines of this
     * stream end with CR and LF.
     */
    private int skipLineEnd(int lineEnd, boolean isEmptyLine) {
        if (pending[lineEnd] == '\n') {
            return lineEnd + 1;
        }
        if (lineEnd + 1 == pendingLength) {
            return hasCrLf || !isEmptyLine ? -1 : lineEnd + 1;
        }
        boolean endsWithLf = pending[lineEnd + 1] == '\n';
        hasCrLf |= endsWithLf;
        return endsWithLf ? lineEnd + 2 : lineEnd + 1;
    }

    private Optional<String> parseId(int start, int end) {
        if (!startsWith(ID_FIELD, start, end)) {
            return Optional.empty();
        }
        int valueStart = start + ID_FIELD.length;
        return Optional.of(new String(pending, valueStart, end - valueStart, StandardCharsets.UTF_8).strip());
    }

    private boolean startsWith(byte[] prefix, int start, int end) {
        return end - start >= prefix.length
                && Arrays.equals(pending, start, start + prefix.length, prefix, 0, prefix.length);
    }
}
