package org.dogwoodwinch.replay;

import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;

/** One attempt on a replayed engine. */
final class ReplaySequence {

    private final TraceRequest request;
    private final boolean prefillOnly;
    private final boolean imported;
    private final Listener listener;
    private int prefillLeft;
    private int decodeLeft;
    private int cachedTokens;
    private boolean firstTokenTold;

    ReplaySequence(TraceRequest request, boolean prefillOnly, boolean imported, Listener listener) {
        this.request = request;
        this.prefillOnly = prefillOnly;
        this.imported = imported;
        this.listener = listener;
        this.prefillLeft = imported ? 0 : request.promptTokens();
        this.decodeLeft = prefillOnly ? 1 : request.outputTokens();
    }

    TraceRequest request() {
        return request;
    }

    boolean imported() {
        return imported;
    }

    int prefillLeft() {
        return prefillLeft;
    }

    int decodeLeft() {
        return prefillOnly ? 0 : decodeLeft;
    }

    int kvTokens() {
        return request.promptTokens() + request.outputTokens();
    }

    void useCached(int tokens) {
        cachedTokens = Math.min(tokens, request.promptTokens() - 1);
        prefillLeft -= cachedTokens;
    }

    int prefill(int mostTokens) {
        int done = Math.min(prefillLeft, mostTokens);
        prefillLeft -= done;
        return done;
    }

    /** Generates one token; returns whether it was the last. */
    boolean generate() {
        decodeLeft--;
        if (!firstTokenTold) {
            firstTokenTold = true;
            listener.onFirstToken();
        }
        return decodeLeft <= 0;
    }

    void complete() {
        int completion = prefillOnly ? 0 : request.outputTokens();
        listener.onComplete(new TokenUsage(request.promptTokens(), cachedTokens, completion));
    }

    void fail(TargetFailure failure) {
        listener.onFailure(failure);
    }

    /** Hears of an attempt. */
    interface Listener {

        void onFirstToken();

        void onComplete(TokenUsage usage);

        void onFailure(TargetFailure failure);
    }
}
