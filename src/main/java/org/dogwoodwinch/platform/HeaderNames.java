package org.dogwoodwinch.platform;

import io.netty.util.AsciiString;

/** Header names of the platform's wire protocol. */
final class HeaderNames {

    static final AsciiString REQUEST_ID = AsciiString.cached("request-id");
    static final AsciiString DEADLINE_MILLIS = AsciiString.cached("deadline-ms");

    /** The id of the target's incarnation that may run the call; not the id of an instance of this system. */
    static final AsciiString EXPECTED_INCARNATION = AsciiString.cached("expect-instance");

    static final AsciiString SERVER_STAMP = AsciiString.cached("server-stamp");
    static final AsciiString NOT_RUN = AsciiString.cached("not-run");
    /** The calls per second that a target accepts from all instances together, as a decimal number. */
    static final AsciiString RATE_LIMIT = AsciiString.cached("server-limit");

    /** The value 1 states that the target is leaving. */
    static final AsciiString LEAVING = AsciiString.cached("server-leaving");

    static final AsciiString LAST_EVENT_ID = AsciiString.cached("last-event-id");
    /** The request id of the caller's attempt that brought the first event of the stream that it takes up. */
    static final AsciiString RESUMES = AsciiString.cached("resumes");

    static final AsciiString MODEL = AsciiString.cached("model");

    /** Two numbers: the tokens of the prompt, and the maximum number of tokens to generate. */
    static final AsciiString TOKEN_COUNTS = AsciiString.cached("token-count");

    /** All segments of the prompt, despite the name: not only its prefix. */
    static final AsciiString PROMPT_SEGMENTS = AsciiString.cached("prompt-prefix");

    /** The priority in the target's queue, 0 to 9; the lowest number is admitted first. */
    static final AsciiString QUEUE_PRIORITY = AsciiString.cached("request-priority");

    static final AsciiString STAGE = AsciiString.cached("stage");

    /** Where the KV cache of a prefilled prompt is fetched from, as {@code address/handle}. */
    static final AsciiString KV_SOURCE = AsciiString.cached("kv-from");

    static final AsciiString KV_FETCH = AsciiString.cached("kv-fetch");
    static final AsciiString KV_BACKUP = AsciiString.cached("kv-backup");
    static final AsciiString KV_HOLD = AsciiString.cached("kv-hold");
    static final AsciiString PIN_MILLIS = AsciiString.cached("pin-ms");
    static final AsciiString EXPECTED_WEIGHTS_VERSION = AsciiString.cached("expect-version");

    /** The caller's secret. */
    static final AsciiString API_KEY = AsciiString.cached("x-api-key");

    /** The name of the owner on whose behalf a call runs. */
    static final AsciiString OWNER = AsciiString.cached("tenant");

    /** The name of the instance that holds a duty. */
    static final AsciiString DUTY_HOLDER = AsciiString.cached("duty-holder");

    static final AsciiString FENCING_TOKEN = AsciiString.cached("fence-token");
    /** A number that the store states in all its answers; it rises each time the store comes back from a copy. */
    static final AsciiString STORE_ERA = AsciiString.cached("store-era");

    static final AsciiString KEEP_ALIVE = AsciiString.cached("keep-alive");
    static final AsciiString PROXY_CONNECTION = AsciiString.cached("proxy-connection");

    private HeaderNames() {}
}
