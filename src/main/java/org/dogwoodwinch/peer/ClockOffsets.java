package org.dogwoodwinch.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.dogwoodwinch.time.TimeSource;

/**
 * How long messages of other instances were on their way, by this instance's own steady clock. Used on one event loop
 * alone.
 *
 * <p>Failure: a message waits for seconds in a socket or on a full link, and what it says passes for fresh, as only its
 * holders add to its age. Steady clocks of two instances have nothing in common; but each message carries its sender's,
 * and the one that receives it knows that it was written no later than it came. Told back, that difference bounds from
 * the other side when the receiver's own messages were written. Each delay, of either way, makes a message older than it
 * is, and none makes it younger; so does a suspension of its sender.
 */
final class ClockOffsets {

    /** Differences are forgotten after one to two of these: a suspension of the other one makes earlier ones wrong. */
    private static final long OFFSET_WINDOW_MILLIS = 1_500;

    /** What two clocks that are read in whole milliseconds may seem to differ by. */
    private static final long ROUNDING_ERROR_MILLIS = 2;

    private final TimeSource time;
    private final Map<String, OffsetWindow> offsetsBySender = new HashMap<>();
    private final Map<String, ReportedOffset> reportedBySender = new HashMap<>();

    ClockOffsets(TimeSource time) {
        this.time = Objects.requireNonNull(time, "time");
    }

    /** A message came: its sender's clock was at least so far ahead of, or behind, the own one. */
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
     * Returns what the others' clocks are ahead of the own one at least, for those that were heard of late.
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

    /** What one instance's clock is ahead of the own one at least, where it was heard of late. */
    Optional<Long> offsetMillis(String sender) {
        OffsetWindow window = offsetsBySender.get(sender);
        return window == null || window.isExpired(time.monotonicMillis())
                ? Optional.empty()
                : Optional.of(window.maxMillis());
    }

    /** Another instance told what this one's clock is ahead of its own at least. */
    void onReportedOffset(String sender, long senderStartMillis, Optional<Long> offsetMillis) {
        if (offsetMillis.isPresent()) {
            reportedBySender.put(sender, new ReportedOffset(senderStartMillis, offsetMillis.get()));
        } else {
            reportedBySender.remove(sender);
        }
    }

    /**
     * Returns how long a message was on its way at most.
     *
     * @param message the message that has just come, not null
     * @return milliseconds; empty where its sender has not told anything of this instance's clock
     */
    OptionalLong transitMillis(PeerMessage message) {
        ReportedOffset reported = reportedBySender.get(message.sender());
        if (reported == null || reported.startedMillis != message.startedMillis()) {
            return OptionalLong.empty();
        }
        long writtenMillis = message.clockMillis() + reported.offsetMillis;
        long transitMillis = time.monotonicMillis() - writtenMillis;
        // From the future: what was told is of a clock that this machine no longer has.
        return transitMillis < -ROUNDING_ERROR_MILLIS
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(0, transitMillis));
    }

    /** This process was suspended: what was told of its clock is wrong by that time. */
    void reset() {
        offsetsBySender.clear();
        reportedBySender.clear();
    }

    private record ReportedOffset(long startedMillis, long offsetMillis) {}

    /** The greatest difference of the last one to two windows. */
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
