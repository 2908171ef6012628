package org.dogwoodwinch.http;

import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.request.Refusal;

/**
 * Hears what becomes of callers' requests at the edge, for counters, histograms and the log.
 *
 * <p>A request is either refused unread, or accepted and then exactly one of answered, refused and left.
 */
public interface EdgeObserver {

    /**
     * A request was refused before it was accepted; it did not run.
     *
     * @param requestId names it, not null
     * @param refusal why, not null
     */
    void onRefusedUnread(String requestId, Refusal refusal);

    /**
     * A request was accepted.
     *
     * @param requestId names it, not null
     * @param entry the entry it is for, not null
     */
    void onAccepted(String requestId, CatalogueEntry entry);

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
    void onAnswered(String requestId, CatalogueEntry entry, int status, long tokens, long elapsedMillis);

    /**
     * An accepted request was refused.
     *
     * @param requestId names it, not null
     * @param entry the entry it was for, not null
     * @param refusal why, not null
     * @param midStream whether a part of the answer had gone out
     */
    void onRefused(String requestId, CatalogueEntry entry, Refusal refusal, boolean midStream);

    /**
     * A caller left before its answer was whole.
     *
     * @param requestId names its request, not null
     * @param entry the entry it was for, not null
     */
    void onCallerLeft(String requestId, CatalogueEntry entry);
}
