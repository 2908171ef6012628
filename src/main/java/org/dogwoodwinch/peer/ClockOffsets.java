package org.dogwoodwinch.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.dogwoodwinch.time.TimeSource;

/**
 * Estimates how long messages of other instances were in transit, measured by this instance's monotonic clock. Confined
 * to one event loop.
 *
 * <p>Failure: a message waits for seconds in a socket or on a saturated link, and its content passes for fresh, since
 * only the instances that hold it add to its age. The monotonic clocks of two instances are unrelated; but each message
 * carries its sender's clock, and the receiver knows that it was written no later than it arrived. This gives a lower
 * bound of the offset between the two clocks. Reported back to the sender, it bounds from the other side when the
 * receiver's own messages were written. A delay in either direction, or a suspension of the sender, makes a message
 * look older than it is, and never younger.
 */
final class ClockOffsets {

    /**
     * An offset is discarded after one to two windows, since a suspension of the other instance invalidates earlier
     * offsets.
     */
    private static final long OFFSET_WINDOW_MILLIS = 1_500;

    /** The difference that rounding to whole milliseconds can cause between two clocks. */
    private static final long ROUNDING_ERROR_MILLIS = 2;

    private final TimeSource time;
    private final Map<String, OffsetWindow> offsetsBySender = new HashMap<>();
    private final Map<String, ReportedOffset> reportedBySender = new HashMap<>();

    ClockOffsets(TimeSource time) {
        this.time = Objects.requireNonNull(time, "time");
    }

    /**
     * Records the clock of a message that was just received: its sender's clock is ahead of the own one by at least the
     * difference, which may be negative.
     */
    void onMessage(PeerMessage message) {
        long nowMillis = time.monotonicMillis();
        OffsetWindow window = offsetsBySender.get(message.sender());
        if (window == null || window.startedMillis != message.startedMillis()) {
            window = new OffsetWindow(message.startedMillis(), nowMillis);
            offsetsBySender.put(message.sender(), window);
        }
        window.add(message.clockMillis() - nowMillis, nowMillis);
    }

    /**
     * Returns lower bounds of how far the clocks of other instances are ahead of the own one, for recent senders.
     *
     * @return milliseconds by sender
     */
    Map<String, Long> offsetsMillis() {
        long nowMillis = time.monotonicMillis();
        offsetsBySender.values().removeIf(window -> window.isExpired(nowMillis));
        Map<String, Long> offsets = new HashMap<>();
        offsetsBySender.forEach((sender, window) -> offsets.put(sender, window.maxMillis()));
        return offsets;
    }

    /** Returns a lower bound of how far one sender's clock is ahead of the own one, if it sent a message recently. */
    Optional<Long> offsetMillis(String sender) {
        OffsetWindow window = offsetsBySender.get(sender);
        return window == null || window.isExpired(time.monotonicMillis())
                ? Optional.empty()
                : Optional.of(window.maxMillis());
    }

    /** Records the lower bound that another instance reported of how far this instance's clock is ahead of its own. */
    void onReportedOffset(String sender, long senderStartMillis, Optional<Long> offsetMillis) {
        if (offsetMillis.isPresent()) {
            reportedBySender.put(sender, new ReportedOffset(senderStartMillis, offsetMillis.get()));
        } else {
            reportedBySender.remove(sender);
        }
    }

    /**
     * Returns an upper bound of the time that a message was in transit.
     *
     * @param message the message that was just received, not null
     * @return milliseconds; empty if its sender has not reported an offset of this instance's clock
     */
    OptionalLong transitMillis(PeerMessage message) {
        ReportedOffset reported = reportedBySender.get(message.sender());
        if (reported == null || reported.startedMillis != message.startedMillis()) {
            return OptionalLong.empty();
        }
        long writtenMillis = message.clockMillis() + reported.offsetMillis;
        long transitMillis = time.monotonicMillis() - writtenMillis;
        // A message from the future: the reported offset belongs to an earlier clock of this machine.
        return transitMillis < -ROUNDING_ERROR_MILLIS
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(0, transitMillis));
    }

    /**
     * Discards all offsets after this process was suspended, since reported offsets are wrong by the length of the
     * suspension.
     */
    void reset() {
        offsetsBySender.clear();
        reportedBySender.clear();
    }

    private record ReportedOffset(long startedMillis, long offsetMillis) {}

    /** Tracks the maximum offset of the last one to two windows. */
    private static final class OffsetWindow {
        private final long startedMillis;
        private long windowStartMillis;
        private long previousMaxMillis = Long.MIN_VALUE;
        private long currentMaxMillis = Long.MIN_VALUE;

        OffsetWindow(long startedMillis, long nowMillis) {
            this.startedMillis = startedMillis;
            this.windowStartMillis = nowMillis;
        }

        void add(long offsetMillis, long nowMillis) {
            if (nowMillis - windowStartMillis >= OFFSET_WINDOW_MILLIS) {
                previousMaxMillis = isExpired(nowMillis) ? Long.MIN_VALUE : currentMaxMillis;
                currentMaxMillis = Long.MIN_VALUE;
                windowStartMillis = nowMillis;
            }
            currentMaxMillis = Math.max(currentMaxMillis, offsetMillis);
        }

        boolean isExpired(long nowMillis) {
            return nowMillis - windowStartMillis >= 2 * OFFSET_WINDOW_MILLIS;
        }

        long maxMillis() {
            return Math.max(previousMaxMillis, currentMaxMillis);
        }
    }
}
