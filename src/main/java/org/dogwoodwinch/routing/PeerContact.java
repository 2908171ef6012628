package org.dogwoodwinch.routing;

/** The time of the last message from any peer. Guarded by the {@link FleetView}. */
final class PeerContact {

    private static final long RECENT_MILLIS = 3_000;

    private long lastMessageMillis = Long.MIN_VALUE / 2;

    void recordMessage(long wallMillis) {
        lastMessageMillis = wallMillis;
    }

    boolean isRecent(long wallMillis) {
        return wallMillis - lastMessageMillis <= RECENT_MILLIS;
    }
}
