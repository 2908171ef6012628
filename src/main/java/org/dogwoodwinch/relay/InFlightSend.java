package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.forwarding.ForwardingPlan;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Prompt;

/** What one send puts on a target, from its first byte until its prompt is read and until it ends. */
final class InFlightSend {

    private final RelayContext context;
    private final Incarnation target;
    private final Optional<Prompt> prompt;
    private final ForwardingPlan.PrefillWork prefillWork;
    private final long aheadTokens;
    private final long sentMillis;
    private boolean prefillPending = true;
    private boolean open = true;

    private InFlightSend(
            RelayContext context, Incarnation target, Optional<Prompt> prompt, ForwardingPlan.PrefillWork prefillWork) {
        this.context = context;
        this.target = target;
        this.prompt = prompt;
        this.prefillWork = prefillWork;
        this.aheadTokens = context.loads().totalAt(target.id()).prefillQueue().tokensAheadOf(prefillWork.level());
        this.sentMillis = context.time().monotonicMillis();
        context.loads().recordSend(target.id(), prefillWork.level(), prefillWork.prefillTokens());
    }

    /**
     * Begins with a send.
     *
     * @param context what all relays share, not null
     * @param target where it goes, not null
     * @param prompt what is to be read there, empty where there is none or its memory is brought along, not null
     * @param prefillWork how it is read, not null
     * @return the account
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

    /** The head of the answer came: what it states of the target is believed. */
    void recordResponseHead(AnswerFacts facts) {
        context.recordResponseHead(target, facts, sentMillis);
    }

    /** The prompt was read: its parts are kept there, and the time that it took tells how fast the target reads. */
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

    /** The send has ended in any way. */
    void end() {
        if (!open) {
            return;
        }
        open = false;
        settlePrefill();
        context.loads().recordEnd(target.id());
    }

    private void settlePrefill() {
        if (prefillPending) {
            prefillPending = false;
            context.loads().recordPrefill(target.id(), prefillWork.level(), prefillWork.prefillTokens());
        }
    }
}
