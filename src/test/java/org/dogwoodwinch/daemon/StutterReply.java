package org.dogwoodwinch.daemon;

import java.util.Locale;
import java.util.Map;

/**
 * What a caller received for a call.
 *
 * @param call the call
 * @param status the status; 0 without a head
 * @param headers the headers by name in lower case
 * @param body the bytes of the body, as ISO 8859-1
 * @param isWhole whether the body was received to its end
 * @param trouble why there is no more; empty for a whole answer
 */
record StutterReply(
        StutterCall call, int status, Map<String, String> headers, String body, boolean isWhole, String trouble) {

    static StutterReply missing(StutterCall call, String trouble) {
        return new StutterReply(call, 0, Map.of(), "", false, trouble);
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String stamp() {
        return header("Server-Stamp");
    }

    boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    boolean leavesConnectionOpen() {
        return isWhole && !header("Connection").equalsIgnoreCase("close");
    }
}
