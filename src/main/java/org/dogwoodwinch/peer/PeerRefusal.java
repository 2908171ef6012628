package org.dogwoodwinch.peer;

import java.util.Locale;

/** The reason why a message of a peer was refused. */
public enum PeerRefusal {
    /** The message exceeds the configured maximum size. */
    TOO_LARGE,
    /** The authentication code is missing or wrong. */
    UNAUTHENTICATED,
    /** The message cannot be decoded, or one of its fields is out of range. */
    MALFORMED,
    /** The format version is not supported by this instance. */
    WRONG_VERSION,
    /** The message was sent too long ago, or its number was seen before. */
    REPLAYED;

    /**
     * Returns the stable name that counters show.
     *
     * @return the name in lower case with underscores
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
