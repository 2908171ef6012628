package org.dogwoodwinch.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * What peers say they have in flight on one target; younger than the target's own report where that lags.
 *
 * <p>What a peer said is forgotten when it has been silent for a while, or one that died would hold a target busy.
 */
final class PeerFlights {

    private static final long KEEP_MILLIS = 15_000;

    private final Map<String, Flight> byOrigin = new HashMap<>();

    void put(String origin, SentTotals totals, long nowMillis) {
        byOrigin.put(origin, new Flight(totals, nowMillis));
    }

    void remove(String origin) {
        byOrigin.remove(origin);
    }

    int count() {
        return byOrigin.size();
    }

    boolean anyUrgent(long nowMillis) {
        expire(nowMillis);
        return byOrigin.values().stream().anyMatch(flight -> flight.totals().urgentInFlight() > 0);
    }

    Sum sum(long nowMillis) {
        expire(nowMillis);
        long prefill = 0;
        long decode = 0;
        long requests = 0;
        for (Flight flight : byOrigin.values()) {
            prefill += flight.totals().prefillTokensInFlight();
            decode += flight.totals().decodeTokensInFlight();
            requests += flight.totals().requestsInFlight();
        }
        return new Sum(prefill, decode, requests);
    }

    private void expire(long nowMillis) {
        byOrigin.values().removeIf(flight -> nowMillis - flight.heardMillis() > KEEP_MILLIS);
    }

    private record Flight(SentTotals totals, long heardMillis) {}

    /**
     * What all peers have in flight.
     *
     * @param prefillTokens prompt tokens
     * @param decodeTokens tokens expected
     * @param requests attempts
     */
    record Sum(long prefillTokens, long decodeTokens, long requests) {}
}
