package org.dogwoodwinch.relay;

/** Where the head of a response holds the text of another status line, beside its own first line. */
public enum InnerStatusLine {
    /** Nowhere. */
    NONE,
    /** In the reason phrase, or in a field that is not after the only one with a request id. */
    BEFORE_ID,
    /** Only in fields after the only one with a request id. */
    AFTER_ID
}
