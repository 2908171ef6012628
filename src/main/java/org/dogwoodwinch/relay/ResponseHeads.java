package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.List;
import java.util.Objects;

/** Judges the heads that arrive on a connection against the calls that it has carried. */
final class ResponseHeads {

    private final CallHeaders callHeaders;
    private final HeadVerdict.Judge judge;
    private final CarriedCalls carried;
    private String waitingId = "";
    private ResponseIdentity identity;
    private HeadVerdict verdict;
    private boolean withoutBody;

    ResponseHeads(CallHeaders callHeaders, HeadVerdict.Judge judge, CarriedCalls carried) {
        this.callHeaders = Objects.requireNonNull(callHeaders, "callHeaders");
        this.judge = Objects.requireNonNull(judge, "judge");
        this.carried = Objects.requireNonNull(carried, "carried");
    }

    /** Begins to wait for the response to another call. */
    void awaitResponse(String requestId) {
        waitingId = requestId;
    }

    /**
     * Judges a head as it arrived, since the decoder then removes fields that contradict the framing, and returns whether
     * the answered call, which may be an earlier one, asked for no body.
     */
    boolean isWithoutBody(HttpResponse head) {
        identity = callHeaders.parseIdentity(head);
        verdict = judge.judge(head.status().code(), identity, waitingId, carried.isFirst());
        withoutBody = verdict instanceof HeadVerdict.OfOtherCall other
                ? carried.isWithoutBody(other.requestId())
                : carried.isWithoutBody(waitingId);
        return withoutBody;
    }

    /** Returns the verdict on the head that was judged last. */
    HeadVerdict verdict() {
        return verdict;
    }

    /** Returns the request ids in the head that was judged last. */
    List<String> statedIds() {
        return identity.requestIds();
    }

    boolean hasInnerStatusLine() {
        return identity.innerStatusLine() != InnerStatusLine.NONE;
    }

    /** Returns what will show that the response has ended whose head was judged last. */
    ResponseEnd expectedEnd(HttpResponse head) {
        return ResponseEnd.expectedOf(head, withoutBody);
    }

    /** Returns whether the connection can carry another call after the response whose head was judged last. */
    boolean allowReuse(HttpResponse head) {
        return expectedEnd(head) != ResponseEnd.CONNECTION
                && HttpUtil.isKeepAlive(head)
                && !identity.requestIds().isEmpty()
                && identity.innerStatusLine() != InnerStatusLine.BEFORE_ID;
    }
}
