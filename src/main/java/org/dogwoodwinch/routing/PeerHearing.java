package org.dogwoodwinch.routing;

/** When this instance last heard any peer; guarded by the {@link FleetView}. */
final class PeerHearing {

    private static final long RECENT_MILLIS = 3_000;

    private long heardMillis = Long.MIN_VALUE / 2;

    void heard(long wallMillis) {
        heardMillis = wallMillis;
    }

    boolean isRecent(long wallMillis) {
        return wallMillis - heardMillis <= RECENT_MILLIS;
    }
}
