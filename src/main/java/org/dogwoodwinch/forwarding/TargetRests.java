package org.dogwoodwinch.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The targets that have turned this instance away and asked it for a rest, during which they get no request from it.
 * Not thread-safe.
 *
 * <p>Failure: an overloaded target answers that it wants nothing for some seconds, and the instance goes on to send it
 * calls, since it looks like the one with the lowest load. Each of them is rejected and sent once more, until the retry
 * budget is used up and callers are refused although other targets have room.
 *
 * <p>Load: a target turns many instances away within a moment, and they would all come back at the same one. Each
 * instance therefore adds a random part to the rest, and then sends one call alone until it has been answered.
 */
public final class TargetRests {

    /** A longer rest would outlast most targets that ask for it, so such a value is taken for an error of the target. */
    private static final long MAX_REST_MILLIS = 300_000;

    private static final double MAX_JITTER_RATIO = 0.2;
    private static final long MAX_JITTER_MILLIS = 500;

    /** A call that takes longer than this to be answered does not hold back the others of its instance. */
    private static final long MAX_PROBE_MILLIS = 250;

    /** Rests that ended this long ago without a further call are forgotten. */
    private static final long FORGET_MILLIS = 60_000;

    private final LongSupplier clockMillis;
    private final UniformRandomProvider random;
    private final Map<String, Rest> rests = new HashMap<>();

    /**
     * Creates an instance in which no target rests.
     *
     * @param clockMillis monotonic milliseconds, not null
     * @param random spreads the ends of rests over the instances, not null
     */
    public TargetRests(LongSupplier clockMillis, UniformRandomProvider random) {
        this.clockMillis = Objects.requireNonNull(clockMillis, "clockMillis");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Records that a target turned a request away and asks for a rest, which begins now. A rest that is already under
     * way is not shortened.
     *
     * @param targetId the target's id, not null
     * @param startedMillis the start time of the target's incarnation; zero if not stated
     * @param restMillis the time for which the target wants no request, in milliseconds; a longer one than five minutes
     *     counts as five minutes, and one that is not positive is ignored
     * @return how long the target rests from now on, in milliseconds; zero if the request is ignored
     */
    public long recordRest(String targetId, long startedMillis, long restMillis) {
        if (restMillis <= 0) {
            return 0;
        }
        long nowMillis = clockMillis.getAsLong();
        rests.values().removeIf(rest -> nowMillis - rest.untilMillis > FORGET_MILLIS);
        long boundedMillis = Math.min(MAX_REST_MILLIS, restMillis);
        long jitterMillis =
                Math.round(random.nextDouble() * Math.min(MAX_JITTER_MILLIS, MAX_JITTER_RATIO * boundedMillis));
        Rest known = rests.get(targetId);
        long untilMillis = nowMillis + boundedMillis + jitterMillis;
        if (known != null && known.startedMillis == startedMillis) {
            untilMillis = Math.max(untilMillis, known.untilMillis);
        }
        rests.put(targetId, new Rest(startedMillis, untilMillis));
        return untilMillis - nowMillis;
    }

    /**
     * Returns whether a target wants no request of this instance now.
     *
     * @param targetId the target's id, not null
     * @param startedMillis the start time of the target's incarnation; zero if not stated
     * @return whether its rest is not over
     */
    public boolean isResting(String targetId, long startedMillis) {
        Rest rest = rests.get(targetId);
        return rest != null && rest.startedMillis == startedMillis && clockMillis.getAsLong() < rest.untilMillis;
    }

    /**
     * Returns the targets that want no request of this instance now.
     *
     * @return their sorted ids
     */
    public List<String> restingTargetIds() {
        long nowMillis = clockMillis.getAsLong();
        return rests.entrySet().stream()
                .filter(entry -> nowMillis < entry.getValue().untilMillis)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /**
     * Returns whether a call may be sent to a target now.
     *
     * @param target the target, not null
     * @return false during its rest, and after it while the first call has not been answered
     */
    public boolean mayReceive(Incarnation target) {
        return millisUntilAvailable(target) == 0;
    }

    /**
     * Returns when a target may get the next call of this instance.
     *
     * @param target the target, not null
     * @return the time from now in milliseconds; zero if a call may be sent at once
     */
    public long millisUntilAvailable(Incarnation target) {
        Rest rest = rests.get(target.id());
        if (rest == null || rest.startedMillis != target.startedMillis()) {
            return 0;
        }
        long nowMillis = clockMillis.getAsLong();
        return Math.max(0, Math.max(rest.untilMillis, rest.probedMillis + MAX_PROBE_MILLIS) - nowMillis);
    }

    /**
     * Records that a call is written to a target. The first one after a rest is sent alone.
     *
     * @param target the target, not null
     */
    public void recordSend(Incarnation target) {
        Rest rest = rests.get(target.id());
        if (rest == null || rest.startedMillis != target.startedMillis()) {
            return;
        }
        if (rest.probedMillis == Rest.NOT_PROBED) {
            rest.probedMillis = clockMillis.getAsLong();
        } else {
            // The first call took longer than a probe may.
            rests.remove(target.id());
        }
    }

    /**
     * Records that a target answered a call without asking for a rest.
     *
     * @param target the target that the call was sent to, not null
     * @param sentMillis when the call was sent, in monotonic milliseconds; a call that was sent before the rest does not
     *     show that it is over
     */
    public void recordAnswer(Incarnation target, long sentMillis) {
        Rest rest = rests.get(target.id());
        if (rest != null && rest.startedMillis == target.startedMillis() && sentMillis >= rest.untilMillis) {
            rests.remove(target.id());
        }
    }

    private static final class Rest {

        private static final long NOT_PROBED = Long.MIN_VALUE / 2;

        private final long startedMillis;
        private final long untilMillis;
        private long probedMillis = NOT_PROBED;

        Rest(long startedMillis, long untilMillis) {
            this.startedMillis = startedMillis;
            this.untilMillis = untilMillis;
        }
    }
}
