package org.dogwoodwinch.relay;

/** What showed that a response has ended. */
public enum ResponseEnd {
    /** All bytes of the stated length were received, or the response has no body. */
    LENGTH,
    /** The last chunk was received. */
    CHUNKS,
    /**
     * The sender closed the connection in an orderly way. The response states neither a length nor chunks, so a process
     * that ended looks the same as the end of the body.
     */
    CONNECTION
}
