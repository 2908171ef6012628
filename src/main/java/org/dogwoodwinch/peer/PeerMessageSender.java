package org.dogwoodwinch.peer;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.dogwoodwinch.bytes.Bytes;

/** Sends messages with the clock offsets of their recipients, and charges the budget. Confined to one event loop. */
final class PeerMessageSender {

    private final PeerMessageFactory factory;
    private final PeerCodec codec;
    private final ClockOffsets clockOffsets;
    private final PeerOutbox outbox;
    private final PeerTransport transport;
    private final PeerObserver observer;
    private final BooleanSupplier requestsState;

    /**
     * Creates a sender.
     *
     * @param factory creates the messages, not null
     * @param codec encodes the messages, not null
     * @param clockOffsets the offsets of the recipients' clocks, not null
     * @param outbox is charged for the messages, not null
     * @param transport sends the messages, not null
     * @param observer is notified of messages and entries, not null
     * @param requestsState returns whether messages currently request all state from their recipients, not null
     */
    PeerMessageSender(
            PeerMessageFactory factory,
            PeerCodec codec,
            ClockOffsets clockOffsets,
            PeerOutbox outbox,
            PeerTransport transport,
            PeerObserver observer,
            BooleanSupplier requestsState) {
        this.factory = Objects.requireNonNull(factory, "factory");
        this.codec = Objects.requireNonNull(codec, "codec");
        this.clockOffsets = Objects.requireNonNull(clockOffsets, "clockOffsets");
        this.outbox = Objects.requireNonNull(outbox, "outbox");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.observer = Objects.requireNonNull(observer, "observer");
        this.requestsState = Objects.requireNonNull(requestsState, "requestsState");
    }

    /**
     * Sends one message with some entries to each recipient.
     *
     * @param entries the entries, possibly none, not null
     * @param recipients the recipients; nothing is sent if there are none, not null
     */
    void send(List<PeerEntry> entries, List<PeerMember> recipients) {
        if (recipients.isEmpty()) {
            return;
        }
        Optional<Long> recipientLeadMillis = recipients.size() == 1
                ? clockOffsets.offsetMillis(recipients.get(0).name())
                : Optional.empty();
        Bytes encoded = codec.encode(factory.createMessage(entries, recipientLeadMillis, requestsState.getAsBoolean()));
        for (PeerEntry entry : entries) {
            PeerTopic.find(entry.topic())
                    .ifPresent(topic -> observer.onEntrySent(topic, PeerCodec.sizeOf(entry), recipients.size()));
        }
        outbox.onSent((long) encoded.length() * recipients.size());
        for (PeerMember member : recipients) {
            observer.onSent(encoded.length());
            transport.send(member, encoded);
        }
    }
}
