package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.ForwardingPlan;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Prompt;
import org.dogwoodwinch.forwarding.ServiceEntry;

/**
 * Lets one engine read the prompt of a call that another will run. The call does not run here, so whatever goes wrong
 * leaves it free to run elsewhere. Used on one event loop alone.
 */
final class PromptReading implements AnswerSink {

    private static final int MAX_BODY_BYTES = 65_536;

    private final RelayParts parts;
    private final ServiceEntry service;
    private final Incarnation reader;
    private final Prompt prompt;
    private final ForwardingPlan.PrefillWork reading;
    private final Consumer<ReadingOutcome> onEnd;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Optional<TargetConnection> connection = Optional.empty();
    private Optional<SendAccount> account = Optional.empty();
    private AnswerFacts answer;
    private boolean ended;

    /**
     * Creates a reading that does nothing yet.
     *
     * @param parts what all relays share, not null
     * @param service the engine's service, not null
     * @param reader the engine, not null
     * @param prompt the prompt, not null
     * @param reading how it is read, not null
     * @param onEnd gets the outcome; not told after {@link #cancel}
     */
    PromptReading(
            RelayParts parts,
            ServiceEntry service,
            Incarnation reader,
            Prompt prompt,
            ForwardingPlan.PrefillWork reading,
            Consumer<ReadingOutcome> onEnd) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.service = Objects.requireNonNull(service, "service");
        this.reader = Objects.requireNonNull(reader, "reader");
        this.prompt = Objects.requireNonNull(prompt, "prompt");
        this.reading = Objects.requireNonNull(reading, "reading");
        this.onEnd = Objects.requireNonNull(onEnd, "onEnd");
    }

    Incarnation reader() {
        return reader;
    }

    /**
     * Sends the call.
     *
     * @param arrivalMillis when the call came, in milliseconds of the steady clock
     * @param outbound the call as it is written to the reader, made when it is sent, not null
     */
    void start(long arrivalMillis, Supplier<OutboundCall> outbound) {
        parts.connections().take(reader, parts.connectionsPerTarget(service), new TargetConnections.Taker() {
            @Override
            public void took(TargetConnection taken) {
                parts.onceCallersAreHeard(arrivalMillis, () -> send(taken, outbound));
            }

            @Override
            public void failed(String reason) {
                end(new ReadingOutcome.NotSent(reason));
            }
        });
    }

    private void send(TargetConnection taken, Supplier<OutboundCall> call) {
        if (ended) {
            parts.connections().giveBack(taken);
            return;
        }
        OutboundCall outbound = call.get();
        if (!parts.chooser().isCurrent(reader)) {
            parts.connections().giveBack(taken);
            parts.report().leftBeforeSend(outbound.requestId(), reader);
            end(new ReadingOutcome.NotSent("target_left"));
            return;
        }
        connection = Optional.of(taken);
        SendAccount opened = SendAccount.begin(parts, reader, Optional.of(prompt), reading);
        account = Optional.of(opened);
        parts.report().sent(outbound.requestId(), reader, reading, opened.aheadTokens(), SendPurpose.READING);
        taken.send(outbound, this);
    }

    /** The call has ended otherwise: the engine drops the work with its connection. */
    void cancel() {
        if (ended) {
            return;
        }
        ended = true;
        connection.ifPresent(open -> {
            open.abort();
            settle();
        });
    }

    @Override
    public void head(AnswerFacts facts, HttpHeaders _headers) {
        answer = facts;
        account.ifPresent(opened -> opened.answered(facts));
    }

    @Override
    public void body(ByteBuf piece) {
        if (body.size() + piece.readableBytes() <= MAX_BODY_BYTES) {
            body.writeBytes(ByteBufUtil.getBytes(piece));
        }
    }

    @Override
    public void ended() {
        parts.answered(reader.id(), answer.misdirected());
        if (answer.status() == 200) {
            account.ifPresent(SendAccount::promptRead);
        }
        settle();
        if (answer.status() != 200) {
            end(new ReadingOutcome.Failed("status_" + answer.status()));
            return;
        }
        Optional<PromptMemory> memory = parts.control().readMemory(reader, Bytes.of(body.toByteArray()));
        end(memory.<ReadingOutcome>map(ReadingOutcome.Read::new)
                .orElseGet(() -> new ReadingOutcome.NoMemory("no_handle")));
    }

    @Override
    public void lost(String reason, boolean brokenOff) {
        settle();
        if (brokenOff) {
            parts.brokenOff(reader.id());
        }
        end(new ReadingOutcome.Failed(reason));
    }

    private void settle() {
        connection = Optional.empty();
        account.ifPresent(SendAccount::end);
        account = Optional.empty();
    }

    private void end(ReadingOutcome outcome) {
        if (!ended) {
            ended = true;
            onEnd.accept(outcome);
        }
    }
}
