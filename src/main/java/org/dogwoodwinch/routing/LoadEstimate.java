package org.dogwoodwinch.routing;

import org.dogwoodwinch.target.LoadReport;

/**
 * The present load of a target, estimated from its last report and from the requests sent since the report was made.
 *
 * <p>The report carries the engine's time of day. A clock offset looks like more or less lag, so the age of a report is
 * bounded: the estimate becomes less precise, but the requests that this instance has outstanding itself are always
 * counted exactly.
 *
 * @param prefillTokens prompt tokens that wait to be computed
 * @param decodeTokens tokens still to be generated
 * @param requests requests running or waiting
 * @param batchCapacity requests that fit into the batch, as far as observed; {@link Integer#MAX_VALUE} without a report
 * @param prefillTokensPerMilli prompt tokens computed per millisecond
 * @param decodeTokensPerMilli tokens generated per millisecond over the whole batch
 * @param prefillTimeFraction the fraction of the target's time that is spent on prompts, from zero to one
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
     * Assumed batch capacity while no report shows waiting requests. Without it, a whole burst would be sent to engines
     * that are already full but whose reports lag.
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
            // The requests that all instances have in flight are more recent than a lagged report. Without recent
            // messages from peers, only the report is used.
            PeerInFlightLoad.InFlightSum peers = state.peerInFlight().sum(wallMillis);
            prefillTokens = Math.min(prefillTokens, state.outstandingPrefillTokens() + peers.prefillTokens());
            decodeTokens = (state.outstandingDecodeTokens() + peers.decodeTokens()) / 2;
            requests = state.outstandingRequests() + peers.requests();
        }
        if (policy.countPeerSends()) {
            // Requests that peers sent since their last message are unknown; each peer is assumed to have sent as much
            // as this instance. Otherwise, in a burst, every instance fills the same free capacity and the engines
            // receive several times what fits.
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

    /** Returns the time until the waiting prompts are computed, in milliseconds. */
    double prefillWaitMillis() {
        return prefillTokens / prefillTokensPerMilli;
    }

    /** Returns the time until a new request enters the batch, in milliseconds. */
    double batchWaitMillis() {
        if (requests < batchCapacity) {
            return 0;
        }
        double tokensPerRequest = decodeTokens / (double) Math.max(1, requests);
        return (requests - batchCapacity + 1) * tokensPerRequest / decodeTokensPerMilli;
    }

    /**
     * Returns the expected time between tokens with one more request in the batch, including the time spent on prompts,
     * in milliseconds.
     */
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
