package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the head of a response states about the call that it answers.
 *
 * @param requestIds the request ids in the order of their fields; empty if it states none
 * @param innerStatusLine where it holds the text of another status line
 * @param innerStatus the status in that line; empty if it holds none
 */
public record ResponseIdentity(List<String> requestIds, InnerStatusLine innerStatusLine, OptionalInt innerStatus) {

    /** As lenient as the decoder, which accepts other white space, lower case and leading zeros. */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.[01]\\s+0*([1-5][0-9]{2})(\\s|$)", Pattern.CASE_INSENSITIVE);

    private static final String VERSION_START = "/1.";

    /** Copies the list. */
    public ResponseIdentity {
        requestIds = List.copyOf(requestIds);
        Objects.requireNonNull(innerStatusLine, "innerStatusLine");
        Objects.requireNonNull(innerStatus, "innerStatus");
    }

    /**
     * Reads the identity from a head.
     *
     * @param head the head of a response, not null
     * @param requestIdName the name of the field with the request id, not null
     * @param signatureName the name of the field with the target's signature, not null
     * @return the identity
     */
    public static ResponseIdentity of(HttpResponse head, CharSequence requestIdName, CharSequence signatureName) {
        List<String> ids = new ArrayList<>();
        OptionalInt innerStatus = findStatus(head.status().reasonPhrase());
        boolean isBeforeId = innerStatus.isPresent();
        for (Map.Entry<String, String> field : head.headers()) {
            if (innerStatus.isEmpty()) {
                innerStatus = findStatus(field.getValue());
                isBeforeId = ids.isEmpty();
            }
            if (field.getKey().equalsIgnoreCase(requestIdName.toString())) {
                ids.add(field.getValue());
            }
        }
        // A sound head states its id and its signature once: a second one belongs to the inner status line.
        boolean isRepeated =
                ids.size() > 1 || head.headers().getAll(signatureName).size() > 1;
        InnerStatusLine position = isBeforeId || isRepeated ? InnerStatusLine.BEFORE_ID : InnerStatusLine.AFTER_ID;
        return new ResponseIdentity(ids, innerStatus.isEmpty() ? InnerStatusLine.NONE : position, innerStatus);
    }

    private static OptionalInt findStatus(String text) {
        if (!text.contains(VERSION_START)) {
            return OptionalInt.empty();
        }
        Matcher matcher = STATUS_LINE.matcher(text);
        return matcher.find() ? OptionalInt.of(Integer.parseInt(matcher.group(1))) : OptionalInt.empty();
    }
}
