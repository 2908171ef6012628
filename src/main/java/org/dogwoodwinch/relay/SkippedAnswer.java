package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Objects;

/**
 * An answer to an earlier call that is skipped while another call waits.
 *
 * <p>Failure: the skipped answer was cut off, and the call's own answer is read as the rest of its body. Nothing else will
 * come, and the caller would wait until its deadline.
 */
final class SkippedAnswer {

    /** A shorter id may stand behind a colon in any body; it counts only where a line ends with it. */
    private static final int MIN_DISTINCT_ID_LENGTH = 8;

    private final String waitingId;
    private final ByteSequenceSearch search;
    private final ByteSequenceSearch searchWithoutSpace;

    /** The last bytes so far, as many as a field with the id has behind its name. */
    private String end = "";

    /**
     * Begins with the body of the answer.
     *
     * @param waitingId the id of the call that waits, not null
     */
    SkippedAnswer(String waitingId) {
        this.waitingId = Objects.requireNonNull(waitingId, "waitingId");
        String lineEnd = waitingId.length() < MIN_DISTINCT_ID_LENGTH ? "\r" : "";
        this.search = searchFor(": " + waitingId + lineEnd);
        this.searchWithoutSpace = searchFor(":" + waitingId + lineEnd);
    }

    /**
     * Reads the next part of the answer.
     *
     * @param content the part, not null
     * @return whether a field with the id of the waiting call stands in it, so that the answer holds that call's own one
     */
    boolean holdsOwnAnswer(HttpContent content) {
        boolean found = search.find(content.content());
        boolean foundWithoutSpace = searchWithoutSpace.find(content.content());
        keepEnd(content.content());
        return found
                || foundWithoutSpace
                || (content instanceof LastHttpContent last && (isNamedIn(last) || endsWithId()));
    }

    private void keepEnd(ByteBuf part) {
        int taken = Math.min(part.readableBytes(), waitingId.length() + 2);
        String added = part.toString(part.writerIndex() - taken, taken, StandardCharsets.ISO_8859_1);
        String joined = end + added;
        end = joined.substring(Math.max(0, joined.length() - waitingId.length() - 2));
    }

    /** Returns whether the answer ends where the own one's id does, so that only line ends are left of that one's head. */
    private boolean endsWithId() {
        return end.endsWith(":" + waitingId) || end.endsWith(": " + waitingId);
    }

    private static ByteSequenceSearch searchFor(String text) {
        return new ByteSequenceSearch(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private boolean isNamedIn(LastHttpContent last) {
        for (Map.Entry<String, String> field : last.trailingHeaders()) {
            if (field.getValue().equals(waitingId)) {
                return true;
            }
        }
        return false;
    }
}
