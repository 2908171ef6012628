package org.dogwoodwinch.platform;

import io.netty.util.AsciiString;

/** The platform's header names. */
final class HeaderNames {

    static final AsciiString REQUEST_ID = AsciiString.cached("request-id");
    static final AsciiString DEADLINE_MILLIS = AsciiString.cached("deadline-ms");

    /** The id of a target's incarnation, not of an instance of this system. */
    static final AsciiString EXPECTED_INCARNATION = AsciiString.cached("expect-instance");

    static final AsciiString SERVER_STAMP = AsciiString.cached("server-stamp");
    static final AsciiString NOT_RUN = AsciiString.cached("not-run");
    /** The calls a second that a target takes from all instances together, a decimal number. */
    static final AsciiString RATE_LIMIT = AsciiString.cached("server-limit");

    static final AsciiString LAST_EVENT_ID = AsciiString.cached("last-event-id");
    static final AsciiString MODEL = AsciiString.cached("model");

    /** Two numbers: the tokens of the prompt, and the most that may be generated. */
    static final AsciiString TOKEN_COUNTS = AsciiString.cached("token-count");

    /** All parts of the prompt, not its beginning alone. */
    static final AsciiString PROMPT_SEGMENTS = AsciiString.cached("prompt-prefix");

    /** The order in which the target admits what waits, 0 to 9, the lowest first. */
    static final AsciiString QUEUE_PRIORITY = AsciiString.cached("request-priority");

    static final AsciiString STAGE = AsciiString.cached("stage");

    /** Where the memory of a read prompt is fetched from: address, slash, handle. */
    static final AsciiString KV_SOURCE = AsciiString.cached("kv-from");

    static final AsciiString KV_FETCH = AsciiString.cached("kv-fetch");
    static final AsciiString KV_BACKUP = AsciiString.cached("kv-backup");
    static final AsciiString KV_HOLD = AsciiString.cached("kv-hold");
    static final AsciiString PIN_MILLIS = AsciiString.cached("pin-ms");
    static final AsciiString EXPECTED_WEIGHTS_VERSION = AsciiString.cached("expect-version");
    static final AsciiString KEEP_ALIVE = AsciiString.cached("keep-alive");
    static final AsciiString PROXY_CONNECTION = AsciiString.cached("proxy-connection");

    private HeaderNames() {}
}
