package org.dogwoodwinch.peer;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/** Determines how long received messages were in transit, and reports it. Confined to one event loop. */
final class TransitTimes {

    private final String instance;
    private final ClockOffsets clockOffsets;
    private final PeerObserver observer;
    private final LateMessages lateMessages = new LateMessages();

    /**
     * Creates an instance without earlier messages.
     *
     * @param instance this instance's name, not null
     * @param clockOffsets the offsets of the other instances' clocks, updated by each message, not null
     * @param observer is notified of the transit times, not null
     */
    TransitTimes(String instance, ClockOffsets clockOffsets, PeerObserver observer) {
        this.instance = Objects.requireNonNull(instance, "instance");
        this.clockOffsets = Objects.requireNonNull(clockOffsets, "clockOffsets");
        this.observer = Objects.requireNonNull(observer, "observer");
    }

    /**
     * Records the clock of a message that was just received, before any time is spent on its content.
     *
     * @param message the message, not null
     */
    void recordArrival(PeerMessage message) {
        clockOffsets.onMessage(message);
    }

    /**
     * Determines how long a recorded message was in transit, and reports it.
     *
     * @param message the message, not null
     * @param heartbeat the sender's heartbeat as a relay, if the message contains one, not null
     * @return an upper bound of its transit time, in milliseconds; empty if its sender has not reported an offset of
     *     this instance's clock
     */
    OptionalLong measure(PeerMessage message, Optional<RelayHeartbeat> heartbeat) {
        if (message.leadMillis().isPresent()) {
            clockOffsets.onReportedOffset(message.sender(), message.startedMillis(), message.leadMillis());
        } else {
            heartbeat.ifPresent(relayHeartbeat -> clockOffsets.onReportedOffset(
                    message.sender(), message.startedMillis(), relayHeartbeat.clockOffsetMillis(instance)));
        }
        OptionalLong transitMillis = clockOffsets.transitMillis(message);
        transitMillis.ifPresent(millis -> {
            observer.onTransitTime(millis);
            lateMessages.onMessage(message.sender(), millis);
        });
        return transitMillis;
    }
}
