package org.dogwoodwinch.peer;

import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.peer.PeerOutbox.Audience;

/** Sends the queued entries of each round to their audiences. Confined to one event loop. */
final class OutboxFlush {

    /**
     * The rounds between the messages of an instance to its relay when it has no updates: two of these messages may be
     * lost before it counts as missing.
     */
    private static final int MEMBER_HEARTBEAT_ROUNDS = 3;

    private final PeerOutbox outbox;
    private final RelayTracker relayTracker;
    private final PeerMessageSender sender;
    private long lastRelayMessageRound;

    /**
     * Creates a flush.
     *
     * @param outbox the queued entries, not null
     * @param relayTracker the members of the audiences, not null
     * @param sender sends the messages, not null
     */
    OutboxFlush(PeerOutbox outbox, RelayTracker relayTracker, PeerMessageSender sender) {
        this.outbox = Objects.requireNonNull(outbox, "outbox");
        this.relayTracker = Objects.requireNonNull(relayTracker, "relayTracker");
        this.sender = Objects.requireNonNull(sender, "sender");
    }

    /**
     * Sends what the budget allows.
     *
     * @param isRelay whether this instance is the relay of its data centre in this round
     * @param currentRound the number of the round
     */
    void run(boolean isRelay, long currentRound) {
        flush(Audience.ALL, relayTracker.others());
        flush(Audience.OTHER_RELAYS, relayTracker.inOtherDataCentres());
        if (isRelay) {
            // These entries were queued for a relay that has since fallen silent.
            outbox.move(Audience.OWN_RELAY, Audience.OWN_DATA_CENTRE);
        }
        flush(Audience.OWN_DATA_CENTRE, relayTracker.localPeers());
        if (!isRelay) {
            sendToOwnRelay(currentRound);
        }
    }

    private void flush(Audience audience, List<PeerMember> recipients) {
        if (recipients.isEmpty()) {
            outbox.clear(audience);
            return;
        }
        List<PeerEntry> entries = outbox.take(audience, recipients.size());
        if (!entries.isEmpty()) {
            sender.send(entries, recipients);
        }
    }

    private void sendToOwnRelay(long currentRound) {
        List<PeerMember> relay = relayTracker.ownRelayMember().stream().toList();
        List<PeerEntry> entries = outbox.take(Audience.OWN_RELAY, relay.size());
        if (!entries.isEmpty() || currentRound - lastRelayMessageRound >= MEMBER_HEARTBEAT_ROUNDS) {
            lastRelayMessageRound = currentRound;
            sender.send(entries, relay);
        }
    }
}
