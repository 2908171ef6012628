package org.dogwoodwinch.routing;

import org.dogwoodwinch.target.LoadReport;

/**
 * A target's load now, estimated from its lagged report and from what was sent since the report's own time.
 *
 * <p>The report's time is the engine's time of day. A clock that is off by some time looks like that much more or less
 * lag, so the age is bounded: the estimate gets rougher, and what this instance itself has outstanding stays exact.
 *
 * @param prefillTokens prompt tokens that wait
 * @param decodeTokens tokens still to be generated
 * @param requests requests in the batch or before it
 * @param batchRequests requests that fit the batch, as far as seen; {@link Integer#MAX_VALUE} while none waits
 * @param prefillTokensPerMilli prompt tokens computed a millisecond
 * @param decodeTokensPerMilli tokens generated a millisecond over the batch
 * @param prefillShare the part of its time that goes to prompts, from zero to one
 */
record LoadEstimate(
        long prefillTokens,
        long decodeTokens,
        long requests,
        int batchRequests,
        double prefillTokensPerMilli,
        double decodeTokensPerMilli,
        double prefillShare) {

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double DEFAULT_PREFILL_TOKENS_PER_MILLI = 8;
    private static final double DEFAULT_DECODE_TOKENS_PER_MILLI = 1;
    /**
     * What fits a batch until a report shows requests that wait. A report that lags would else let a whole burst onto
     * engines that are full already.
     */
    private static final int ASSUMED_BATCH = 48;

    private static final long UNSEEN_MILLIS = 750;
    private static final long FRESH_MILLIS = 600;
    private static final long LONGEST_AGE_MILLIS = 15_000;
    private static final long SHARE_WINDOW_MILLIS = 12_000;
    private static final double GREATEST_SHARE = 0.9;

    static LoadEstimate of(TargetState state, RoutingPolicy policy, long wallMillis) {
        LoadReport report = state.report();
        if (report == null) {
            return withoutReport(state, policy, wallMillis);
        }
        long ageMillis = Math.max(0, Math.min(LONGEST_AGE_MILLIS, wallMillis - report.reportedAtMillis()));
        long sinceMillis = wallMillis - ageMillis;
        double prefillRate = rate(report.prefillTokensPerSecond(), DEFAULT_PREFILL_TOKENS_PER_MILLI);
        double decodeRate = rate(report.decodeTokensPerSecond(), DEFAULT_DECODE_TOKENS_PER_MILLI);
        long prefill = report.queuedPrefillTokens();
        long decode = report.queuedDecodeTokens();
        long requests = (long) report.runningRequests() + report.waitingRequests();
        if (policy.countOwnSends()) {
            prefill += state.ownSends().prefillSince(sinceMillis);
            decode += state.ownSends().decodeSince(sinceMillis);
            requests += state.ownSends().requestsSince(sinceMillis);
        }
        if (policy.countPeerSends()) {
            prefill += state.peerSends().prefillSince(sinceMillis);
            decode += state.peerSends().decodeSince(sinceMillis);
            requests += state.peerSends().requestsSince(sinceMillis);
        }
        if (policy.countOwnSends()) {
            long drainedDecode = (long) (decodeRate * ageMillis);
            requests -= drainedRequests(requests, decode, drainedDecode);
            prefill = Math.max(state.outstandingPrefillTokens(), prefill - (long) (prefillRate * ageMillis));
            decode = Math.max(state.outstandingDecodeTokens() / 2, decode - drainedDecode);
            requests = Math.max(state.outstandingRequests(), requests);
        }
        if (policy.countPeerSends() && ageMillis > FRESH_MILLIS && state.hearsPeers(wallMillis)) {
            // What all instances have in flight is younger than a lagged report; cut off from the peers, the report
            // stays.
            PeerFlights.Sum peers = state.peerFlights().sum(wallMillis);
            prefill = Math.min(prefill, state.outstandingPrefillTokens() + peers.prefillTokens());
            decode = (state.outstandingDecodeTokens() + peers.decodeTokens()) / 2;
            requests = state.outstandingRequests() + peers.requests();
        }
        if (policy.countPeerSends()) {
            // What peers sent since their last word is not known yet; they are taken to do as this instance does.
            // Without
            // it, in a burst each instance fills the same gap, and the engines get as many times what fits.
            long unseenSince = wallMillis - UNSEEN_MILLIS;
            long peers = state.peerFlights().count();
            prefill += peers * state.ownSends().prefillSince(unseenSince);
            decode += peers * state.ownSends().decodeSince(unseenSince);
            requests += peers * state.ownSends().requestsSince(unseenSince);
        }
        int batch = report.waitingRequests() > 0
                ? Math.max(1, report.runningRequests())
                : Math.max(ASSUMED_BATCH, report.runningRequests());
        return new LoadEstimate(
                Math.max(0, prefill),
                Math.max(0, decode),
                Math.max(0, requests),
                batch,
                prefillRate,
                decodeRate,
                prefillShare(state, policy, prefillRate, wallMillis));
    }

    /** The wait for the prompts ahead, in milliseconds. */
    double prefillWaitMillis() {
        return prefillTokens / prefillTokensPerMilli;
    }

    /** The wait for a place in the batch, in milliseconds. */
    double slotWaitMillis() {
        if (requests < batchRequests) {
            return 0;
        }
        double tokensPerRequest = decodeTokens / (double) Math.max(1, requests);
        return (requests - batchRequests + 1) * tokensPerRequest / decodeTokensPerMilli;
    }

    /** The time between tokens with one request more, prompts beside it included, in milliseconds. */
    double tokenMillis(double firstStepMillis) {
        double inBatch = Math.min(requests + 1.0, batchRequests);
        double step = Math.max(firstStepMillis + inBatch / decodeTokensPerMilli / 2, inBatch / decodeTokensPerMilli);
        return step / (1 - prefillShare);
    }

    private static LoadEstimate withoutReport(TargetState state, RoutingPolicy policy, long wallMillis) {
        return new LoadEstimate(
                state.outstandingPrefillTokens(),
                state.outstandingDecodeTokens(),
                state.outstandingRequests(),
                Integer.MAX_VALUE,
                DEFAULT_PREFILL_TOKENS_PER_MILLI,
                DEFAULT_DECODE_TOKENS_PER_MILLI,
                prefillShare(state, policy, DEFAULT_PREFILL_TOKENS_PER_MILLI, wallMillis));
    }

    private static long drainedRequests(long requests, long decode, long drainedDecode) {
        return decode <= 0 ? 0 : Math.min(requests, requests * drainedDecode / Math.max(1, decode));
    }

    private static double rate(double tokensPerSecond, double fallback) {
        return tokensPerSecond > 0 ? tokensPerSecond / MILLIS_PER_SECOND : fallback;
    }

    private static double prefillShare(TargetState state, RoutingPolicy policy, double prefillRate, long wallMillis) {
        if (!state.role().servesPrefill() || !policy.countOwnSends()) {
            return 0;
        }
        long since = wallMillis - SHARE_WINDOW_MILLIS;
        long tokens = state.ownSends().prefillSince(since);
        if (policy.countPeerSends()) {
            tokens += state.peerSends().prefillSince(since);
        }
        return Math.min(GREATEST_SHARE, tokens / prefillRate / SHARE_WINDOW_MILLIS);
    }
}
