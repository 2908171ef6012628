package org.dogwoodwinch.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import java.util.Optional;

/**
 * A message from one instance to another.
 *
 * @param version the format version, {@link #VERSION}
 * @param sender the sender's name
 * @param startedMillis when the sender started, in wall-clock milliseconds
 * @param number increases with each message of this incarnation of the sender
 * @param sentMillis when it was sent, in milliseconds of the sender's wall clock
 * @param clockMillis the sender's monotonic clock when the message was written, in milliseconds; has no meaning by
 *     itself
 * @param leadMillis a lower bound of how far the recipient's monotonic clock is ahead of the sender's, in milliseconds;
 *     empty if unknown or if there are several recipients
 * @param newcomer whether the sender has just started and requests all state
 * @param items the entries
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({
    "version",
    "sender",
    "startedMillis",
    "number",
    "sentMillis",
    "clockMillis",
    "leadMillis",
    "newcomer",
    "items"
})
record PeerMessage(
        int version,
        String sender,
        long startedMillis,
        long number,
        long sentMillis,
        long clockMillis,
        Optional<Long> leadMillis,
        boolean newcomer,
        List<PeerEntry> items) {

    /** The format version that this code writes and reads. */
    static final int VERSION = 2;

    PeerMessage {
        leadMillis = leadMillis == null ? Optional.empty() : leadMillis;
        items = items == null ? List.of() : List.copyOf(items);
    }
}
