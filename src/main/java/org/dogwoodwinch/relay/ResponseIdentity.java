package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * What the head of a response states about the call that it answers.
 *
 * @param requestIds the request ids in the order of their fields; empty if it states none
 * @param innerStatusLine where it holds the text of another status line
 */
public record ResponseIdentity(List<String> requestIds, InnerStatusLine innerStatusLine) {

    private static final String PROTOCOL = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}( |$)");

    /** Copies the list. */
    public ResponseIdentity {
        requestIds = List.copyOf(requestIds);
        Objects.requireNonNull(innerStatusLine, "innerStatusLine");
    }

    /**
     * Reads the identity from a head.
     *
     * @param head the head of a response, not null
     * @param requestIdName the name of the field with the request id, not null
     * @return the identity
     */
    public static ResponseIdentity of(HttpResponse head, CharSequence requestIdName) {
        List<String> ids = new ArrayList<>();
        InnerStatusLine inner =
                holdsStatusLine(head.status().reasonPhrase()) ? InnerStatusLine.BEFORE_ID : InnerStatusLine.NONE;
        for (Map.Entry<String, String> field : head.headers()) {
            boolean isId = field.getKey().equalsIgnoreCase(requestIdName.toString());
            if (inner == InnerStatusLine.NONE && holdsStatusLine(field.getValue())) {
                inner = ids.isEmpty() ? InnerStatusLine.BEFORE_ID : InnerStatusLine.AFTER_ID;
            }
            if (isId) {
                ids.add(field.getValue());
            }
        }
        return new ResponseIdentity(ids, inner);
    }

    private static boolean holdsStatusLine(String text) {
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }
}
