package org.dogwoodwinch.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * The load that each peer reports to have in flight on one target. It is more recent than the target's own report if
 * that lags.
 *
 * <p>Entries expire after {@link #ENTRY_TTL_MILLIS}; otherwise a peer that crashed would make the target look busy
 * forever.
 */
final class PeerInFlightLoad {

    private static final long ENTRY_TTL_MILLIS = 15_000;

    private final Map<String, Entry> byOrigin = new HashMap<>();

    void put(String origin, SentTotals totals, long nowMillis) {
        byOrigin.put(origin, new Entry(totals, nowMillis));
    }

    void remove(String origin) {
        byOrigin.remove(origin);
    }

    int peerCount() {
        return byOrigin.size();
    }

    boolean hasUrgent(long nowMillis) {
        expire(nowMillis);
        return byOrigin.values().stream().anyMatch(entry -> entry.totals().urgentInFlight() > 0);
    }

    InFlightSum sum(long nowMillis) {
        expire(nowMillis);
        long prefillTokens = 0;
        long decodeTokens = 0;
        long requests = 0;
        for (Entry entry : byOrigin.values()) {
            prefillTokens += entry.totals().prefillTokensInFlight();
            decodeTokens += entry.totals().decodeTokensInFlight();
            requests += entry.totals().requestsInFlight();
        }
        return new InFlightSum(prefillTokens, decodeTokens, requests);
    }

    private void expire(long nowMillis) {
        byOrigin.values().removeIf(entry -> nowMillis - entry.receivedMillis() > ENTRY_TTL_MILLIS);
    }

    private record Entry(SentTotals totals, long receivedMillis) {}

    /**
     * The sum over all peers.
     *
     * @param prefillTokens prompt tokens still to be computed
     * @param decodeTokens tokens expected to be generated
     * @param requests attempts in flight
     */
    record InFlightSum(long prefillTokens, long decodeTokens, long requests) {}
}
