package org.dogwoodwinch.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The running totals last received from one peer. Above {@link #MAX_TARGETS}, the targets updated least recently are
 * dropped.
 */
final class PeerTotals {

    private static final int MAX_TARGETS = 256;

    private final long incarnation;
    private final Map<String, SentTotals> byTarget = new LinkedHashMap<>();

    PeerTotals(long incarnation) {
        this.incarnation = incarnation;
    }

    long incarnation() {
        return incarnation;
    }

    /**
     * Returns the totals last received for a target; zeros for an unknown target, as the peer had not sent to it
     * before.
     */
    SentTotals lastTotals(String target) {
        SentTotals lastTotals = byTarget.get(target);
        return lastTotals == null ? new SentTotals(target, 0, 0, 0, 0, 0, 0, 0) : lastTotals;
    }

    List<String> targetsInFlight() {
        return byTarget.values().stream()
                .filter(totals -> totals.requestsInFlight() > 0)
                .map(SentTotals::target)
                .toList();
    }

    void update(List<SentTotals> received) {
        for (SentTotals totals : received) {
            byTarget.remove(totals.target());
            byTarget.put(totals.target(), totals);
        }
        // A target that is missing from the peer's message has none of the peer's requests in flight any more.
        byTarget.replaceAll((_target, known) -> received.contains(known) ? known : withoutInFlight(known));
        while (byTarget.size() > MAX_TARGETS) {
            byTarget.remove(byTarget.keySet().iterator().next());
        }
    }

    private static SentTotals withoutInFlight(SentTotals totals) {
        return new SentTotals(
                totals.target(), totals.prefillTokens(), totals.decodeTokens(), totals.requests(), 0, 0, 0, 0);
    }
}
