package org.dogwoodwinch.routing;

import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.LoadReport;
import org.dogwoodwinch.target.Target;

/** The state of one target as known to this instance. Guarded by its {@link FleetView}. */
final class TargetState {

    private final Target target;
    private final PeerContact peerContact;
    private final TargetHealth health = new TargetHealth();
    private final SendWindow ownSends = new SendWindow();
    private final SendWindow peerSends = new SendWindow();
    private final PeerInFlightLoad peerInFlight = new PeerInFlightLoad();
    private EngineRole role = EngineRole.MIXED;
    private int packingRank;
    private boolean isReady = true;
    private boolean listedLeaving;
    private long drainingUntilMillis;
    private LoadReport report;
    private long outstandingPrefillTokens;
    private long outstandingDecodeTokens;
    private int outstandingRequests;
    private int outstandingUrgentRequests;
    private long sentPrefillTokens;
    private long sentDecodeTokens;
    private long sentRequests;
    private long lastSentMillis;

    TargetState(Target target, PeerContact peerContact) {
        this.target = target;
        this.peerContact = peerContact;
    }

    Target target() {
        return target;
    }

    TargetHealth health() {
        return health;
    }

    SendWindow ownSends() {
        return ownSends;
    }

    SendWindow peerSends() {
        return peerSends;
    }

    EngineRole role() {
        return role;
    }

    void setRole(EngineRole newRole) {
        role = newRole;
    }

    /**
     * Returns the position of the target in the order in which latency-tolerant requests fill targets; equal on all
     * instances.
     */
    int packingRank() {
        return packingRank;
    }

    void setPackingRank(int newRank) {
        packingRank = newRank;
    }

    boolean isReady() {
        return isReady;
    }

    void setReady(boolean newReady) {
        isReady = newReady;
    }

    boolean isDraining(long nowMillis) {
        return listedLeaving || nowMillis < drainingUntilMillis;
    }

    void setListedLeaving(boolean leaving) {
        listedLeaving = leaving;
    }

    void markDrainingUntil(long untilMillis) {
        drainingUntilMillis = Math.max(drainingUntilMillis, untilMillis);
    }

    void clearDraining() {
        drainingUntilMillis = 0;
    }

    /** Returns the latest report, or null before the first one. */
    LoadReport report() {
        return report;
    }

    /** Stores a report unless it is older than the stored one, as reports may arrive out of order. */
    void updateReport(LoadReport newReport) {
        if (report == null || newReport.reportedAtMillis() >= report.reportedAtMillis()) {
            report = newReport;
        }
    }

    void onSent(long wallMillis, long prefillTokens, long decodeTokens, boolean urgent) {
        ownSends.add(wallMillis, prefillTokens, decodeTokens, 1);
        outstandingPrefillTokens += prefillTokens;
        outstandingDecodeTokens += decodeTokens;
        outstandingRequests++;
        outstandingUrgentRequests += urgent ? 1 : 0;
        sentPrefillTokens += prefillTokens;
        sentDecodeTokens += decodeTokens;
        sentRequests++;
        lastSentMillis = wallMillis;
    }

    void onPrefillDone(long prefillTokens) {
        outstandingPrefillTokens -= prefillTokens;
    }

    void onEnded(long remainingPrefillTokens, long decodeTokens, boolean urgent) {
        outstandingPrefillTokens -= remainingPrefillTokens;
        outstandingDecodeTokens -= decodeTokens;
        outstandingRequests--;
        outstandingUrgentRequests -= urgent ? 1 : 0;
    }

    long outstandingPrefillTokens() {
        return outstandingPrefillTokens;
    }

    long outstandingDecodeTokens() {
        return outstandingDecodeTokens;
    }

    int outstandingRequests() {
        return outstandingRequests;
    }

    int outstandingUrgentRequests() {
        return outstandingUrgentRequests;
    }

    boolean hasRecentPeerContact(long wallMillis) {
        return peerContact.isRecent(wallMillis);
    }

    PeerInFlightLoad peerInFlight() {
        return peerInFlight;
    }

    boolean hasUrgentRequests(long wallMillis) {
        return outstandingUrgentRequests > 0 || peerInFlight.hasUrgent(wallMillis);
    }

    long sentPrefillTokens() {
        return sentPrefillTokens;
    }

    long sentDecodeTokens() {
        return sentDecodeTokens;
    }

    long sentRequests() {
        return sentRequests;
    }

    long lastSentMillis() {
        return lastSentMillis;
    }
}
