package org.dogwoodwinch.peer;

import java.util.Locale;

/** Why a message of a peer was refused. */
public enum PeerRefusal {
    /** It is larger than the settings allow. */
    TOO_LARGE,
    /** Its authentication code is missing or wrong. */
    UNAUTHENTICATED,
    /** It cannot be read, or a part of it is out of range. */
    MALFORMED,
    /** It is of a version that this instance does not speak. */
    WRONG_VERSION,
    /** It was sent too long ago, or its number was seen before. */
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
