package org.dogwoodwinch.daemon;

/** A target of one software version, which may serve on after its entry was removed. */
final class SoakTarget {

    final String service;
    final String version;
    private final long listedMillis;
    private long removedMillis = Long.MAX_VALUE;
    private long exitsMillis = Long.MAX_VALUE;

    SoakTarget(String service, String version, long listedMillis) {
        this.service = service;
        this.version = version;
        this.listedMillis = listedMillis;
    }

    /** Removes the entry at the given time; the target exits after it has served on. */
    void removeAt(long millis, long servesOnMillis) {
        removedMillis = millis;
        exitsMillis = millis + servesOnMillis;
    }

    boolean isRemovedBefore(long millis) {
        return removedMillis < millis;
    }

    boolean isListedAt(long millis) {
        return listedMillis <= millis && millis < removedMillis;
    }

    boolean isServingAt(long millis) {
        return listedMillis <= millis && millis < exitsMillis;
    }

    /** Returns whether the target is listed at some time of an interval. */
    boolean isListedWithin(long fromMillis, long toMillis) {
        return listedMillis <= toMillis && removedMillis > fromMillis;
    }
}
