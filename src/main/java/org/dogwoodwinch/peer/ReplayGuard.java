package org.dogwoodwinch.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.dogwoodwinch.time.TimeSource;

/** Detects replayed messages: a recorded one could restore an entry that has since expired. Not thread-safe. */
final class ReplayGuard {

    /** Well above the difference between the wall clocks of two instances. */
    private static final long MAX_CLOCK_SKEW_MILLIS = 300_000;

    private final TimeSource time;
    private final Map<String, LastMessage> lastBySender = new HashMap<>();

    ReplayGuard(TimeSource time) {
        this.time = Objects.requireNonNull(time, "time");
    }

    /**
     * Returns whether a message is too old, or not newer than the last one of the same incarnation of its sender;
     * records it if it is neither.
     */
    boolean isReplayed(PeerMessage message) {
        if (Math.abs(time.wallMillis() - message.sentMillis()) > MAX_CLOCK_SKEW_MILLIS) {
            return true;
        }
        LastMessage last = lastBySender.get(message.sender());
        if (last != null && last.startedMillis == message.startedMillis() && message.number() <= last.number) {
            return true;
        }
        lastBySender.put(message.sender(), new LastMessage(message.startedMillis(), message.number()));
        return false;
    }

    private record LastMessage(long startedMillis, long number) {}
}
