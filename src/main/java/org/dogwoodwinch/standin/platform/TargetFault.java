package org.dogwoodwinch.standin.platform;

/** What a stand-in target does wrong with one request. */
public enum TargetFault {
    /** Nothing. */
    NONE,
    /** It runs the request and closes the connection without an answer. */
    ANSWER_LOST,
    /** It sends bytes that are no answer. */
    GARBLED,
    /** It answers, and then once more. */
    EXTRA_ANSWER,
    /** It closes in the middle of its answer. */
    CUT,
    /** It answers without a length and without chunks, so that the answer ends with its connection. */
    UNFRAMED,
    /** It breaks such an answer off: a stream inside an event by an orderly close, any other answer by a reset. */
    UNFRAMED_CUT,
    /** It states that it did not run the request. */
    REJECTED,
    /** It fails with a status of its own after it ran. */
    FAILED,
    /** It states after it ran that the request's time was over. */
    TIMED_OUT
}
