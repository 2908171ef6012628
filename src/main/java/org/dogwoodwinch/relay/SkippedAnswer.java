package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * An answer to an earlier call that is skipped while another call waits.
 *
 * <p>Failure: the skipped answer was cut off, and the call's own answer is read as the rest of its body. Nothing else will
 * come, and the caller would wait until its deadline.
 */
final class SkippedAnswer {

    /** A shorter id may stand behind a colon in any body; it counts only where a line or the answer ends with it. */
    private static final int MIN_DISTINCT_ID_LENGTH = 8;

    private final String waitingId;
    private final Pattern field;
    private final Pattern fieldAtEnd;

    /** The last bytes so far, in which a field with the id may have begun. */
    private String end = "";

    /**
     * Begins with the body of the answer.
     *
     * @param waitingId the id of the call that waits, not null
     */
    SkippedAnswer(String waitingId) {
        this.waitingId = Objects.requireNonNull(waitingId, "waitingId");
        String fieldEnd = ": ?" + Pattern.quote(waitingId);
        this.field = Pattern.compile(waitingId.length() < MIN_DISTINCT_ID_LENGTH ? fieldEnd + "\r" : fieldEnd);
        this.fieldAtEnd = Pattern.compile(fieldEnd + "\\z");
    }

    /**
     * Reads the next part of the answer.
     *
     * @param content the part, not null
     * @return whether a field with the id of the waiting call stands in it, so that the answer holds that call's own one
     */
    boolean holdsOwnAnswer(HttpContent content) {
        String text = end + content.content().toString(StandardCharsets.ISO_8859_1);
        end = text.substring(Math.max(0, text.length() - ": ".length() - waitingId.length()));
        return field.matcher(text).find()
                || (content instanceof LastHttpContent last
                        && (isNamedIn(last) || fieldAtEnd.matcher(text).find()));
    }

    private boolean isNamedIn(LastHttpContent last) {
        for (Map.Entry<String, String> trailer : last.trailingHeaders()) {
            if (trailer.getValue().equals(waitingId)) {
                return true;
            }
        }
        return false;
    }
}
