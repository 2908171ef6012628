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
final class PeerClocks {

    /** Differences are forgotten after one to two of these: a suspension of the other one makes earlier ones wrong. */
    private static final long WINDOW_MILLIS = 1_500;

    /** What two clocks that are read in whole milliseconds may seem to differ by. */
    private static final long GRAIN_MILLIS = 2;

    private final TimeSource time;
    private final Map<String, Heard> heardBySender = new HashMap<>();
    private final Map<String, Told> toldBySender = new HashMap<>();

    PeerClocks(TimeSource time) {
        this.time = Objects.requireNonNull(time, "time");
    }

    /** A message came: its sender's clock was at least so far ahead of, or behind, the own one. */
    void heard(PeerMessage message) {
        long nowMillis = time.monotonicMillis();
        Heard known = heardBySender.get(message.sender());
        if (known == null || known.startedMillis != message.startedMillis()) {
            known = new Heard(message.startedMillis(), nowMillis);
            heardBySender.put(message.sender(), known);
        }
        known.add(message.clockMillis() - nowMillis, nowMillis);
    }

    /**
     * Returns what the others' clocks are ahead of the own one at least, for those that were heard of late.
     *
     * @return milliseconds by sender
     */
    Map<String, Long> leadsMillis() {
        long nowMillis = time.monotonicMillis();
        heardBySender.values().removeIf(heard -> heard.outdated(nowMillis));
        Map<String, Long> leads = new HashMap<>();
        heardBySender.forEach((sender, heard) -> leads.put(sender, heard.bestMillis()));
        return leads;
    }

    /** What one instance's clock is ahead of the own one at least, where it was heard of late. */
    Optional<Long> leadMillis(String sender) {
        Heard heard = heardBySender.get(sender);
        return heard == null || heard.outdated(time.monotonicMillis())
                ? Optional.empty()
                : Optional.of(heard.bestMillis());
    }

    /** Another instance told what this one's clock is ahead of its own at least. */
    void told(String sender, long senderStartedMillis, Optional<Long> leadMillis) {
        if (leadMillis.isPresent()) {
            toldBySender.put(sender, new Told(senderStartedMillis, leadMillis.get()));
        } else {
            toldBySender.remove(sender);
        }
    }

    /**
     * Returns how long a message was on its way at most.
     *
     * @param message the message that has just come, not null
     * @return milliseconds; empty where its sender has not told anything of this instance's clock
     */
    OptionalLong wayMillis(PeerMessage message) {
        Told told = toldBySender.get(message.sender());
        if (told == null || told.startedMillis != message.startedMillis()) {
            return OptionalLong.empty();
        }
        long writtenMillis = message.clockMillis() + told.leadMillis;
        long wayMillis = time.monotonicMillis() - writtenMillis;
        // From the future: what was told is of a clock that this machine no longer has.
        return wayMillis < -GRAIN_MILLIS ? OptionalLong.empty() : OptionalLong.of(Math.max(0, wayMillis));
    }

    /** This process was suspended: what was told of its clock is wrong by that time. */
    void forget() {
        heardBySender.clear();
        toldBySender.clear();
    }

    private record Told(long startedMillis, long leadMillis) {}

    /** The greatest difference of the last one to two windows. */
    private static final class Heard {
        private final long startedMillis;
        private long windowSinceMillis;
        private long beforeMillis = Long.MIN_VALUE;
        private long latestMillis = Long.MIN_VALUE;

        Heard(long startedMillis, long nowMillis) {
            this.startedMillis = startedMillis;
            this.windowSinceMillis = nowMillis;
        }

        void add(long leadMillis, long nowMillis) {
            if (nowMillis - windowSinceMillis >= WINDOW_MILLIS) {
                beforeMillis = outdated(nowMillis) ? Long.MIN_VALUE : latestMillis;
                latestMillis = Long.MIN_VALUE;
                windowSinceMillis = nowMillis;
            }
            latestMillis = Math.max(latestMillis, leadMillis);
        }

        boolean outdated(long nowMillis) {
            return nowMillis - windowSinceMillis >= 2 * WINDOW_MILLIS;
        }

        long bestMillis() {
            return Math.max(beforeMillis, latestMillis);
        }
    }
}
