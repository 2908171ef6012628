package org.dogwoodwinch.relay;

/**
 * The limits of what is received before or beside an answer. A sound answer has no limit: its caller's own pace bounds
 * what is read of it.
 *
 * <p>Failure: a target in trouble sends bytes that are no answer, without end, and every instance reads them for as long
 * as its calls last. One such target takes the whole event loop, and calls to sound targets get no answer in time.
 */
final class ReceiveLimits {

    /** The first line of a head. */
    static final int MAX_LINE_BYTES = 8_192;

    /** The fields of a head. */
    static final int MAX_HEADER_BYTES = 65_536;

    /**
     * An answer without streaming that is kept in memory until it is complete, so that a truncated one can still be
     * replaced by another. A longer success is begun, and a longer failure is given up.
     */
    static final int MAX_BUFFERED_BODY_BYTES = 262_144;

    /**
     * All that is received for one call outside its answer: the head, and an answer to an earlier call that was sent
     * twice.
     */
    static final int MAX_BYTES_BESIDE_ANSWER = MAX_LINE_BYTES + MAX_HEADER_BYTES + MAX_BUFFERED_BODY_BYTES;

    /** Interim heads for one call; the protocol of targets has none. */
    static final int MAX_INTERIM_HEADS = 8;

    /** Answers to other calls that are skipped for one call; a target repeats an answer at most once. */
    static final int MAX_SKIPPED_ANSWERS = 3;

    /** The answer to a prefill: a handle of some bytes. */
    static final int MAX_PREFILL_BODY_BYTES = 65_536;

    /** An answer to a control call; the largest is a page of a snapshot of the store. */
    static final int MAX_CONTROL_BODY_BYTES = 8 * 1024 * 1024;

    private ReceiveLimits() {}
}
