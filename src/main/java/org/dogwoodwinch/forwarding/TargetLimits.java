package org.dogwoodwinch.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.function.LongSupplier;

/** Which targets name a limit in their answers: calls a second that they take from all instances together. Not thread-safe. */
public final class TargetLimits {

    /** What an answer changed of what is believed. */
    public enum News {
        /** It says what was known. */
        NONE,
        /** The target names a limit, and named none before. */
        NAMED,
        /** It names another limit. */
        CHANGED,
        /** It names none any more. */
        ENDED
    }

    private final LongSupplier clockMillis;
    private final Map<String, Limit> limits = new HashMap<>();

    /**
     * Creates a book without limits.
     *
     * @param clockMillis monotonic milliseconds, not null
     */
    public TargetLimits(LongSupplier clockMillis) {
        this.clockMillis = Objects.requireNonNull(clockMillis, "clockMillis");
    }

    /**
     * A target answered a call. That it names no limit counts only where the call was sent after the limit was known:
     * answers of several instances are not read in the order in which they were made.
     *
     * @param targetId the target's id, not null
     * @param perSecond the limit that the answer names, empty where it names none, not null
     * @param sentMillis when the call was sent, in monotonic milliseconds
     * @return what is new
     */
    public News answered(String targetId, OptionalDouble perSecond, long sentMillis) {
        Limit known = limits.get(targetId);
        if (perSecond.isEmpty()) {
            if (known == null || sentMillis <= known.statedMillis) {
                return News.NONE;
            }
            limits.remove(targetId);
            return News.ENDED;
        }
        double named = perSecond.getAsDouble();
        limits.put(targetId, new Limit(named, clockMillis.getAsLong()));
        if (known == null) {
            return News.NAMED;
        }
        return known.perSecond == named ? News.NONE : News.CHANGED;
    }

    /**
     * Says whether a target is believed to be limited.
     *
     * @param targetId the target's id, not null
     * @return whether a limit that it named is in force
     */
    public boolean isLimited(String targetId) {
        return limits.containsKey(targetId);
    }

    /**
     * Returns how many targets are believed to be limited.
     *
     * @return the count over all services
     */
    public int count() {
        return limits.size();
    }

    /**
     * A target is listed no more, or has started anew.
     *
     * @param targetId the target's id, not null
     */
    public void forget(String targetId) {
        limits.remove(targetId);
    }

    private record Limit(double perSecond, long statedMillis) {}
}
