package org.dogwoodwinch.daemon;

import org.dogwoodwinch.standin.platform.PlatformStandIn;
import org.dogwoodwinch.standin.platform.TargetStandIn;

/** One call of a soak with stuttering targets; its echo makes its body unlike that of any other call. */
record StutterCall(String id, Kind kind, String echo) {

    private static final int EVENTS_COUNT = 8;

    enum Kind {
        SAFE("GET", "/safe/", 2),
        ONCE("POST", "/once/", 1),
        STREAM("POST", "/stream/", 1),
        RESUME("POST", "/resume/", 2);

        private final String method;
        private final String path;
        private final int maxRuns;

        Kind(String method, String path, int maxRuns) {
            this.method = method;
            this.path = path;
            this.maxRuns = maxRuns;
        }

        int maxRuns() {
            return maxRuns;
        }

        boolean isStream() {
            return this == STREAM || this == RESUME;
        }
    }

    String request() {
        String prompt = kind.isStream()
                ? "Model: m\r\nToken-Count: 200,8\r\nPrompt-Prefix: 5" + id + ":150,9" + id + ":50\r\n"
                : "";
        String body = kind.method.equals("POST") ? "Content-Length: 5\r\n\r\nhello" : "\r\n";
        return kind.method + " " + kind.path + "a HTTP/1.1\r\nHost: " + PlatformStandIn.HOST + "\r\nRequest-Id: " + id
                + "\r\nX-Api-Key: " + PlatformStandIn.KEY + "\r\n" + TargetStandIn.ECHO + ": " + echo + "\r\n" + prompt
                + body;
    }

    /** Returns the body of each whole success. */
    String successBody() {
        if (!kind.isStream()) {
            return "done " + id + " " + echo;
        }
        StringBuilder events = new StringBuilder();
        for (int i = 1; i <= EVENTS_COUNT; i++) {
            events.append("id: " + i + "\ndata: word" + i + " " + echo + "\n\n");
        }
        return events.toString();
    }
}
