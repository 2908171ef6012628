package org.dogwoodwinch.relay;

/** The answer that a target gives to the call that waits. */
enum OwnAnswer {
    SUCCESS("200 OK", "own body", "Request-Id: ", true),
    FAILURE("500 Internal Server Error", "own failure", "Request-Id: ", true),
    EMPTY_FAILURE("504 Gateway Timeout", "", "request-id:", false),
    NOT_RUN("503 Busy", "", "Request-Id: ", false);

    private static final String STREAM_BODY = "id: 1\ndata: own\n\nid: 2\ndata: end\n\n";

    private final String status;
    private final String body;
    private final String idField;
    private final boolean idFirst;

    OwnAnswer(String status, String body, String idField, boolean idFirst) {
        this.status = status;
        this.body = body;
        this.idField = idField;
        this.idFirst = idFirst;
    }

    /** Returns whether a caller received the status, the signature and the body of this answer. */
    boolean isReceivedAs(ReceivedAnswer received, String method, String stamp) {
        return status.startsWith(received.status() + " ")
                && received.stamp().equals(stamp)
                && received.body().equals(method.equals("HEAD") ? "" : body);
    }

    /**
     * Returns the bytes of this answer.
     *
     * @param path the path of the call; a success of a stream is chunked
     * @param method the method of the call
     * @param id the id of the call
     * @param stamp the signature of the target
     */
    String text(String path, String method, String id, String stamp) {
        boolean isStream = this == SUCCESS && path.startsWith("/stream/");
        String idLine = idField + id + "\r\n";
        String head = "HTTP/1.1 " + status + "\r\n"
                + (idFirst ? idLine : "")
                + "Server-Stamp: " + stamp + "\r\nX-Own: " + stamp + "\r\n"
                + (this == NOT_RUN ? "Not-Run: 1\r\n" : "")
                + (isStream
                        ? "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                        : "Content-Length: " + body.length() + "\r\n")
                + (idFirst ? "" : idLine)
                + "\r\n";
        if (method.equals("HEAD")) {
            return head;
        }
        return head + (isStream ? RelayFixture.chunk(STREAM_BODY) + "0\r\n\r\n" : body);
    }
}
