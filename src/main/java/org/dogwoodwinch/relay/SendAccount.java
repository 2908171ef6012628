package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.forwarding.ForwardingPlan;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Prompt;

/** What one send puts on a target, from its first byte until its prompt is read and until it ends. */
final class SendAccount {

    private final RelayParts parts;
    private final Incarnation target;
    private final Optional<Prompt> prompt;
    private final ForwardingPlan.PrefillWork reading;
    private final long aheadTokens;
    private final long sentMillis;
    private boolean unread = true;
    private boolean open = true;

    private SendAccount(
            RelayParts parts, Incarnation target, Optional<Prompt> prompt, ForwardingPlan.PrefillWork reading) {
        this.parts = parts;
        this.target = target;
        this.prompt = prompt;
        this.reading = reading;
        this.aheadTokens = parts.loads().totalAt(target.id()).prefillQueue().tokensAheadOf(reading.level());
        this.sentMillis = parts.time().monotonicMillis();
        parts.loads().recordSend(target.id(), reading.level(), reading.prefillTokens());
    }

    /**
     * Begins with a send.
     *
     * @param parts what all relays share, not null
     * @param target where it goes, not null
     * @param prompt what is to be read there, empty where there is none or its memory is brought along, not null
     * @param reading how it is read, not null
     * @return the account
     */
    static SendAccount begin(
            RelayParts parts, Incarnation target, Optional<Prompt> prompt, ForwardingPlan.PrefillWork reading) {
        Objects.requireNonNull(target, "target");
        return new SendAccount(parts, target, prompt, reading);
    }

    Incarnation target() {
        return target;
    }

    long ageMillis() {
        return parts.time().monotonicMillis() - sentMillis;
    }

    long aheadTokens() {
        return aheadTokens;
    }

    /** The head of the answer came: what it states of the target is believed. */
    void answered(AnswerFacts facts) {
        parts.answerBegan(target, facts, sentMillis);
    }

    /** The prompt was read: its parts are kept there, and the time that it took tells how fast the target reads. */
    void promptRead() {
        if (!unread) {
            return;
        }
        settlePrompt();
        prompt.ifPresent(read -> {
            long millis = ageMillis();
            parts.rates().observe(target.service(), target.stage(), aheadTokens + reading.prefillTokens(), millis);
            parts.parts().recordPrefill(target.id(), read);
        });
    }

    /** The send has ended in any way. */
    void end() {
        if (!open) {
            return;
        }
        open = false;
        settlePrompt();
        parts.loads().recordEnd(target.id());
    }

    private void settlePrompt() {
        if (unread) {
            unread = false;
            parts.loads().recordPrefill(target.id(), reading.level(), reading.prefillTokens());
        }
    }
}
