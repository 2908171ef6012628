package org.dogwoodwinch.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import java.util.Optional;

/**
 * What one instance sends to another.
 *
 * @param version the format, {@link #VERSION}
 * @param sender the sender's name
 * @param startedMillis when the sender started, in milliseconds of its time of day
 * @param number grows with each message of this start of the sender
 * @param sentMillis when it was sent, in milliseconds of the sender's time of day
 * @param clockMillis what the sender's steady clock showed when it was written, in milliseconds; it means nothing by itself
 * @param leadMillis what the one receiver's steady clock is ahead of the sender's at least, in milliseconds; empty where it is
 *     not known, or there are several
 * @param newcomer whether the sender has just started and wants to hear everything
 * @param items the items
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

    /** The format that this code writes and reads. */
    static final int VERSION = 2;

    PeerMessage {
        leadMillis = leadMillis == null ? Optional.empty() : leadMillis;
        items = items == null ? List.of() : List.copyOf(items);
    }
}
