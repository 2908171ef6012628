package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.forwarding.ForwardingPlan;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Prompt;
import org.dogwoodwinch.forwarding.StreamStallCost;

/**
 * A send that is under way at a target. Counts towards the target's load until the send ends, and towards its prefill
 * queue until the prompt is prefilled.
 */
final class InFlightSend {

    private final RelayContext context;
    private final Incarnation target;
    private final Optional<Prompt> prompt;
    private final ForwardingPlan.PrefillWork prefillWork;
    private final long aheadTokens;
    private final long sentMillis;
    private boolean prefillPending = true;
    private boolean open = true;
    private long lastEventMillis = -1;
    private boolean longPrefillAtLastEvent;
    private boolean ranBesideLongPrefill;
    private boolean stalledByPrefill;

    private InFlightSend(
            RelayContext context, Incarnation target, Optional<Prompt> prompt, ForwardingPlan.PrefillWork prefillWork) {
        this.context = context;
        this.target = target;
        this.prompt = prompt;
        this.prefillWork = prefillWork;
        this.aheadTokens = context.loads().totalAt(target.id()).prefillQueue().tokensAheadOf(prefillWork.level());
        this.sentMillis = context.time().monotonicMillis();
        context.rests().recordSend(target);
        context.loads().recordSend(target.id(), prefillWork.level(), prefillWork.prefillTokens());
        context.isolation().recordSent(target.id(), sentMillis);
    }

    /**
     * Records the start of a send.
     *
     * @param context the services that all relays share, not null
     * @param target the target of the send, not null
     * @param prompt the prompt to prefill at the target, empty if there is none or its KV cache is transferred, not
     *     null
     * @param prefillWork the tokens to prefill and their queue level, not null
     * @return the send under way
     */
    static InFlightSend start(
            RelayContext context, Incarnation target, Optional<Prompt> prompt, ForwardingPlan.PrefillWork prefillWork) {
        Objects.requireNonNull(target, "target");
        return new InFlightSend(context, target, prompt, prefillWork);
    }

    Incarnation target() {
        return target;
    }

    long ageMillis() {
        return context.time().monotonicMillis() - sentMillis;
    }

    long aheadTokens() {
        return aheadTokens;
    }

    /** Records the rate limit that the head of the response states. */
    void recordResponseHead(ResponseAttributes attributes) {
        context.recordResponseHead(target, attributes, sentMillis);
    }

    /** Records that the prompt is prefilled and its segments are cached, and derives the target's prefill rate. */
    void recordPrefillDone() {
        if (!prefillPending) {
            return;
        }
        settlePrefill();
        prompt.ifPresent(read -> {
            long millis = ageMillis();
            context.prefillRates()
                    .observe(target.service(), target.stage(), aheadTokens + prefillWork.prefillTokens(), millis);
            context.cacheIndex().recordPrefill(target.id(), read);
        });
    }

    /**
     * Records that the target wrote events of a stream, and whether a long prefill at the target, as far as it is known
     * here, made them late.
     *
     * @param maxEventGapMillis the gap between events that the caller accepts; zero if it accepts any
     */
    void recordEvents(long maxEventGapMillis) {
        if (maxEventGapMillis <= 0) {
            return;
        }
        long nowMillis = context.time().monotonicMillis();
        double prefillMillis =
                context.loads().totalAt(target.id()).prefillQueue().totalTokens()
                        / context.prefillRates().tokensPerMilli(target.service(), target.stage());
        boolean longPrefill = StreamStallCost.exceedsGap(prefillMillis, maxEventGapMillis);
        if (lastEventMillis >= 0 && (longPrefill || longPrefillAtLastEvent)) {
            ranBesideLongPrefill = true;
            stalledByPrefill |= nowMillis - lastEventMillis > maxEventGapMillis;
        }
        lastEventMillis = nowMillis;
        longPrefillAtLastEvent = longPrefill;
    }

    /** Records the end of the send, whatever its outcome. */
    void end() {
        if (!open) {
            return;
        }
        open = false;
        settlePrefill();
        if (ranBesideLongPrefill) {
            context.stallCost().observe(target.service(), stalledByPrefill);
            context.report().ranBesidePrefill(target.service(), stalledByPrefill);
        }
        context.loads().recordEnd(target.id());
        context.isolation().recordEnded(target.id());
    }

    private void settlePrefill() {
        if (prefillPending) {
            prefillPending = false;
            context.loads().recordPrefill(target.id(), prefillWork.level(), prefillWork.prefillTokens());
        }
    }
}
