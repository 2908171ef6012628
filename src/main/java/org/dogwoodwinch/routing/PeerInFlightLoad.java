package org.dogwoodwinch.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * What peers say they have in flight on one target; younger than the target's own report where that lags.
 *
 * <p>What a peer said is forgotten when it has been silent for a while, or one that died would hold a target busy.
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
     * What all peers have in flight.
     *
     * @param prefillTokens prompt tokens
     * @param decodeTokens tokens expected
     * @param requests attempts
     */
    record InFlightSum(long prefillTokens, long decodeTokens, long requests) {}
}
