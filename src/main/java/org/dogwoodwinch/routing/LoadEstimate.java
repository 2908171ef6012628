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
 * @param batchCapacity requests that fit the batch, as far as seen; {@link Integer#MAX_VALUE} while none waits
 * @param prefillTokensPerMilli prompt tokens computed a millisecond
 * @param decodeTokensPerMilli tokens generated a millisecond over the batch
 * @param prefillTimeFraction the part of its time that goes to prompts, from zero to one
 */
record LoadEstimate(
        long prefillTokens,
        long decodeTokens,
        long requests,
        int batchCapacity,
        double prefillTokensPerMilli,
        double decodeTokensPerMilli,
        double prefillTimeFraction) {

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double DEFAULT_PREFILL_TOKENS_PER_MILLI = 8;
    private static final double DEFAULT_DECODE_TOKENS_PER_MILLI = 1;
    /**
     * What fits a batch until a report shows requests that wait. A report that lags would else let a whole burst onto
     * engines that are full already.
     */
    private static final int ASSUMED_BATCH_CAPACITY = 48;

    private static final long UNPUBLISHED_WINDOW_MILLIS = 750;
    private static final long FRESH_REPORT_MILLIS = 600;
    private static final long MAX_REPORT_AGE_MILLIS = 15_000;
    private static final long PREFILL_WINDOW_MILLIS = 12_000;
    private static final double MAX_PREFILL_TIME_FRACTION = 0.9;

    static LoadEstimate of(TargetState state, RoutingPolicy policy, long wallMillis) {
        LoadReport report = state.report();
        if (report == null) {
            return fromOutstanding(state, policy, wallMillis);
        }
        long ageMillis = Math.max(0, Math.min(MAX_REPORT_AGE_MILLIS, wallMillis - report.reportedAtMillis()));
        long sinceMillis = wallMillis - ageMillis;
        double prefillRate = tokensPerMilli(report.prefillTokensPerSecond(), DEFAULT_PREFILL_TOKENS_PER_MILLI);
        double decodeRate = tokensPerMilli(report.decodeTokensPerSecond(), DEFAULT_DECODE_TOKENS_PER_MILLI);
        long prefillTokens = report.queuedPrefillTokens();
        long decodeTokens = report.queuedDecodeTokens();
        long requests = (long) report.runningRequests() + report.waitingRequests();
        if (policy.countOwnSends()) {
            prefillTokens += state.ownSends().prefillSince(sinceMillis);
            decodeTokens += state.ownSends().decodeSince(sinceMillis);
            requests += state.ownSends().requestsSince(sinceMillis);
        }
        if (policy.countPeerSends()) {
            prefillTokens += state.peerSends().prefillSince(sinceMillis);
            decodeTokens += state.peerSends().decodeSince(sinceMillis);
            requests += state.peerSends().requestsSince(sinceMillis);
        }
        if (policy.countOwnSends()) {
            long generatedTokens = (long) (decodeRate * ageMillis);
            requests -= completedRequests(requests, decodeTokens, generatedTokens);
            prefillTokens =
                    Math.max(state.outstandingPrefillTokens(), prefillTokens - (long) (prefillRate * ageMillis));
            decodeTokens = Math.max(state.outstandingDecodeTokens() / 2, decodeTokens - generatedTokens);
            requests = Math.max(state.outstandingRequests(), requests);
        }
        if (policy.countPeerSends() && ageMillis > FRESH_REPORT_MILLIS && state.hasRecentPeerContact(wallMillis)) {
            // What all instances have in flight is younger than a lagged report; cut off from the peers, the report
            // stays.
            PeerInFlightLoad.InFlightSum peers = state.peerInFlight().sum(wallMillis);
            prefillTokens = Math.min(prefillTokens, state.outstandingPrefillTokens() + peers.prefillTokens());
            decodeTokens = (state.outstandingDecodeTokens() + peers.decodeTokens()) / 2;
            requests = state.outstandingRequests() + peers.requests();
        }
        if (policy.countPeerSends()) {
            // What peers sent since their last word is not known yet; they are taken to do as this instance does.
            // Without
            // it, in a burst each instance fills the same gap, and the engines get as many times what fits.
            long unpublishedSince = wallMillis - UNPUBLISHED_WINDOW_MILLIS;
            long peers = state.peerInFlight().peerCount();
            prefillTokens += peers * state.ownSends().prefillSince(unpublishedSince);
            decodeTokens += peers * state.ownSends().decodeSince(unpublishedSince);
            requests += peers * state.ownSends().requestsSince(unpublishedSince);
        }
        int batchCapacity = report.waitingRequests() > 0
                ? Math.max(1, report.runningRequests())
                : Math.max(ASSUMED_BATCH_CAPACITY, report.runningRequests());
        return new LoadEstimate(
                Math.max(0, prefillTokens),
                Math.max(0, decodeTokens),
                Math.max(0, requests),
                batchCapacity,
                prefillRate,
                decodeRate,
                prefillTimeFraction(state, policy, prefillRate, wallMillis));
    }

    /** The wait for the prompts ahead, in milliseconds. */
    double prefillWaitMillis() {
        return prefillTokens / prefillTokensPerMilli;
    }

    /** The wait for a place in the batch, in milliseconds. */
    double batchWaitMillis() {
        if (requests < batchCapacity) {
            return 0;
        }
        double tokensPerRequest = decodeTokens / (double) Math.max(1, requests);
        return (requests - batchCapacity + 1) * tokensPerRequest / decodeTokensPerMilli;
    }

    /** The time between tokens with one request more, prompts beside it included, in milliseconds. */
    double interTokenMillis(double minInterTokenMillis) {
        double batchedRequests = Math.min(requests + 1.0, batchCapacity);
        double stepMillis = Math.max(
                minInterTokenMillis + batchedRequests / decodeTokensPerMilli / 2,
                batchedRequests / decodeTokensPerMilli);
        return stepMillis / (1 - prefillTimeFraction);
    }

    private static LoadEstimate fromOutstanding(TargetState state, RoutingPolicy policy, long wallMillis) {
        return new LoadEstimate(
                state.outstandingPrefillTokens(),
                state.outstandingDecodeTokens(),
                state.outstandingRequests(),
                Integer.MAX_VALUE,
                DEFAULT_PREFILL_TOKENS_PER_MILLI,
                DEFAULT_DECODE_TOKENS_PER_MILLI,
                prefillTimeFraction(state, policy, DEFAULT_PREFILL_TOKENS_PER_MILLI, wallMillis));
    }

    private static long completedRequests(long requests, long decodeTokens, long generatedTokens) {
        return decodeTokens <= 0 ? 0 : Math.min(requests, requests * generatedTokens / Math.max(1, decodeTokens));
    }

    private static double tokensPerMilli(double tokensPerSecond, double fallback) {
        return tokensPerSecond > 0 ? tokensPerSecond / MILLIS_PER_SECOND : fallback;
    }

    private static double prefillTimeFraction(
            TargetState state, RoutingPolicy policy, double prefillRate, long wallMillis) {
        if (!state.role().servesPrefill() || !policy.countOwnSends()) {
            return 0;
        }
        long sinceMillis = wallMillis - PREFILL_WINDOW_MILLIS;
        long tokens = state.ownSends().prefillSince(sinceMillis);
        if (policy.countPeerSends()) {
            tokens += state.peerSends().prefillSince(sinceMillis);
        }
        return Math.min(MAX_PREFILL_TIME_FRACTION, tokens / prefillRate / PREFILL_WINDOW_MILLIS);
    }
}
