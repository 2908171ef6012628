package org.dogwoodwinch.authority;

/** What happens to an open order. */
enum OrderEvent {
    /** It may be sent. */
    DUE,
    /** The engine took it. */
    ACCEPTED,
    /** The engine refused it and did nothing. */
    REFUSED,
    /** No answer came. */
    LOST,
    /** The engine's state shows it. */
    MATCHES,
    /** The engine's state shows that it was not applied, or was lost in a crash. */
    DIFFERS,
    /** It was tried for too long. */
    GIVE_UP,
    /** Its end was read back from the log. */
    READ_BACK
}
