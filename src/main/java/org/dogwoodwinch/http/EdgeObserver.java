package org.dogwoodwinch.http;

import org.dogwoodwinch.request.Refusal;

/** Hears what becomes of callers' requests at the edge, for counters, histograms and the log. */
public interface EdgeObserver {

    /**
     * A request was taken.
     *
     * @param requestId names it, not null
     * @param entry the entry it is for, not null
     */
    void onAccepted(String requestId, String entry);

    /**
     * The first token went out.
     *
     * @param requestId names the request, not null
     * @param elapsedMillis since its arrival, in milliseconds
     */
    void onFirstToken(String requestId, long elapsedMillis);

    /**
     * A further token went out.
     *
     * @param gapMillis since the one before, in milliseconds
     */
    void onNextToken(long gapMillis);

    /**
     * A request was answered.
     *
     * @param requestId names it, not null
     * @param entry the entry it was for, not null
     * @param status the HTTP status
     * @param tokens how many tokens were generated
     * @param elapsedMillis since its arrival, in milliseconds
     */
    void onAnswered(String requestId, String entry, int status, long tokens, long elapsedMillis);

    /**
     * A request was refused.
     *
     * @param requestId names it, not null
     * @param entry the entry it was for; empty where that is not known, not null
     * @param refusal why, not null
     * @param midStream whether a part of the answer had gone out
     */
    void onRefused(String requestId, String entry, Refusal refusal, boolean midStream);

    /**
     * A caller left before its answer was whole.
     *
     * @param requestId names its request, not null
     * @param entry the entry it was for, not null
     */
    void onCallerLeft(String requestId, String entry);
}
