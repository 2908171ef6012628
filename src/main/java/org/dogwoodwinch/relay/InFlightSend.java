package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.forwarding.ForwardingPlan;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Prompt;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.StreamStallCost;
import org.dogwoodwinch.forwarding.WorkKind;

/**
 * A send that is under way at a target. Counts towards the target's load until the send ends, and towards its prefill
 * queue until the prompt is prefilled.
 */
final class InFlightSend {

    private static final int FIRST_SERVER_ERROR = 500;

    /**
     * The part of the time to a first event that does not depend on the prompt: the first decode steps and the round
     * trip.
     */
    private static final double FIXED_PROMPT_MILLIS = 20;

    private final RelayContext context;
    private final Incarnation target;
    private final Optional<Prompt> prompt;
    private final ForwardingPlan.PrefillWork prefillWork;
    private final long aheadTokens;
    private final long sentMillis;
    private final WorkKind workKind;
    private final double work;
    private boolean prefillPending = true;
    private boolean open = true;
    private boolean responded;
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
        boolean hasPrompt = prompt.isPresent() || prefillWork.prefillTokens() > 0;
        this.workKind = workKind(hasPrompt);
        this.work = hasPrompt ? promptMillis() : queuedRuns();
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

    private WorkKind workKind(boolean hasPrompt) {
        if (hasPrompt) {
            return WorkKind.ofPrompt(promptTokens());
        }
        boolean isPlain = target.stage() == Stage.WHOLE && prefillWork.equals(ForwardingPlan.PrefillWork.NONE);
        return isPlain ? WorkKind.PLAIN : WorkKind.PREFILLED_PROMPT;
    }

    /** Returns the tokens that the target prefills before the first event of this send. */
    private long promptTokens() {
        return aheadTokens + prefillWork.prefillTokens();
    }

    private double promptMillis() {
        return FIXED_PROMPT_MILLIS + promptTokens() / tokensPerMilli();
    }

    /** Returns the runs that the send takes at the target, one after the other. */
    private double queuedRuns() {
        double runs = (context.loads().totalAt(target.id()).callsCount() + 1.0) / Math.max(1, target.slotsCount());
        return Math.max(1, runs);
    }

    private double tokensPerMilli() {
        return context.prefillRates().tokensPerMilli(target.service(), target.stage());
    }

    Incarnation target() {
        return target;
    }

    long ageMillis() {
        return nowMillis() - sentMillis;
    }

    private long nowMillis() {
        return context.time().monotonicMillis();
    }

    long aheadTokens() {
        return aheadTokens;
    }

    /** Records the rate limit that the head of the response states, and how the target performs. */
    void recordResponseHead(ResponseAttributes attributes) {
        context.recordResponseHead(target, attributes, sentMillis);
        responded = true;
        if (attributes.isSuccess() && workKind == WorkKind.PLAIN) {
            recordTime();
        } else if (attributes.status() >= FIRST_SERVER_ERROR && !attributes.isRejected()) {
            context.performance().recordFailure(target, true, nowMillis());
        }
    }

    /** Records that the response was lost. */
    void recordLost() {
        responded = true;
        context.performance().recordFailure(target, false, nowMillis());
    }

    private void recordTime() {
        context.performance().recordTime(target, workKind, Math.max(1, ageMillis()) / work, nowMillis());
    }

    /** Records that the prompt is prefilled and its segments are cached, and derives the target's prefill rate. */
    void recordPrefillDone() {
        if (!prefillPending) {
            return;
        }
        settlePrefill();
        if (workKind != WorkKind.PLAIN) {
            recordTime();
        }
        prompt.ifPresent(read -> {
            // A slow engine's own time would make all engines of the service look slower than they are.
            double timeRatio =
                    context.performance().standing(target, nowMillis()).timeRatio();
            context.prefillRates()
                    .observe(target.service(), target.stage(), promptTokens(), Math.round(ageMillis() / timeRatio));
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
        long nowMillis = nowMillis();
        double prefillMillis =
                context.loads().totalAt(target.id()).prefillQueue().totalTokens() / tokensPerMilli();
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
        if (!responded) {
            context.performance().recordUnanswered(target, workKind, ageMillis() / work, nowMillis());
        }
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
