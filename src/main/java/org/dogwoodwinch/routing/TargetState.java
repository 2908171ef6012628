package org.dogwoodwinch.routing;

import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.LoadReport;
import org.dogwoodwinch.target.Target;

/** What this instance knows of one target; guarded by its {@link FleetView}. */
final class TargetState {

    private final Target target;
    private final PeerHearing hearing;
    private final TargetHealth health = new TargetHealth();
    private final TokenRing ownSends = new TokenRing();
    private final TokenRing peerSends = new TokenRing();
    private final PeerFlights peerFlights = new PeerFlights();
    private EngineRole role = EngineRole.MIXED;
    private int place;
    private boolean ready = true;
    private boolean listedLeaving;
    private long markedLeavingUntilMillis;
    private LoadReport report;
    private long outstandingPrefillTokens;
    private long outstandingDecodeTokens;
    private int outstandingRequests;
    private int outstandingUrgent;
    private long sentPrefillTokens;
    private long sentDecodeTokens;
    private long sentRequests;
    private long lastSentMillis;

    TargetState(Target target, PeerHearing hearing) {
        this.target = target;
        this.hearing = hearing;
    }

    Target target() {
        return target;
    }

    TargetHealth health() {
        return health;
    }

    TokenRing ownSends() {
        return ownSends;
    }

    TokenRing peerSends() {
        return peerSends;
    }

    EngineRole role() {
        return role;
    }

    void setRole(EngineRole newRole) {
        role = newRole;
    }

    /** Its place in the order in which lanes fill; the same on every instance. */
    int place() {
        return place;
    }

    void setPlace(int newPlace) {
        place = newPlace;
    }

    boolean ready() {
        return ready;
    }

    void setReady(boolean isReady) {
        ready = isReady;
    }

    boolean leaving(long nowMillis) {
        return listedLeaving || nowMillis < markedLeavingUntilMillis;
    }

    void setListedLeaving(boolean leaving) {
        listedLeaving = leaving;
    }

    void markLeavingUntil(long untilMillis) {
        markedLeavingUntilMillis = Math.max(markedLeavingUntilMillis, untilMillis);
    }

    void clearLeavingMark() {
        markedLeavingUntilMillis = 0;
    }

    /** The newest report, or null before the first. */
    LoadReport report() {
        return report;
    }

    /** Reports may arrive out of order; an older one would undo what a newer one said. */
    void takeReport(LoadReport newReport) {
        if (report == null || newReport.reportedAtMillis() >= report.reportedAtMillis()) {
            report = newReport;
        }
    }

    void onSent(long wallMillis, long prefillTokens, long decodeTokens, boolean urgent) {
        ownSends.add(wallMillis, prefillTokens, decodeTokens, 1);
        outstandingPrefillTokens += prefillTokens;
        outstandingDecodeTokens += decodeTokens;
        outstandingRequests++;
        outstandingUrgent += urgent ? 1 : 0;
        sentPrefillTokens += prefillTokens;
        sentDecodeTokens += decodeTokens;
        sentRequests++;
        lastSentMillis = wallMillis;
    }

    void onPrefillDone(long prefillTokens) {
        outstandingPrefillTokens -= prefillTokens;
    }

    void onEnded(long prefillTokensLeft, long decodeTokens, boolean urgent) {
        outstandingPrefillTokens -= prefillTokensLeft;
        outstandingDecodeTokens -= decodeTokens;
        outstandingRequests--;
        outstandingUrgent -= urgent ? 1 : 0;
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

    int outstandingUrgent() {
        return outstandingUrgent;
    }

    boolean hearsPeers(long wallMillis) {
        return hearing.isRecent(wallMillis);
    }

    PeerFlights peerFlights() {
        return peerFlights;
    }

    boolean servesUrgentWork(long wallMillis) {
        return outstandingUrgent > 0 || peerFlights.anyUrgent(wallMillis);
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
