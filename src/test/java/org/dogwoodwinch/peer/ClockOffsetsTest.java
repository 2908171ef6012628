package org.dogwoodwinch.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class ClockOffsetsTest {

    /** How far the relay's monotonic clock is ahead of the own one. */
    private static final long RELAY_CLOCK_AHEAD_MILLIS = 7_777_777;

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final ClockOffsets own = new ClockOffsets(time);
    private final ClockOffsets relay = new ClockOffsets(time);
    private long suspendedMillis;

    private static PeerMessage message(String sender, long startedMillis, long clockMillis) {
        return new PeerMessage(
                PeerMessage.VERSION, sender, startedMillis, 1, 0, clockMillis, Optional.empty(), false, List.of());
    }

    private PeerMessage relayMessage(long startedMillis) {
        return message("relay", startedMillis, time.monotonicMillis() + RELAY_CLOCK_AHEAD_MILLIS - suspendedMillis);
    }

    /** Delivers a message of this instance to the relay after a transit time. */
    private void deliverToRelay(long transitMillis) {
        long writtenMillis = time.monotonicMillis();
        time.advanceMillis(transitMillis);
        relay.onMessage(message("own", 1, writtenMillis - RELAY_CLOCK_AHEAD_MILLIS));
    }

    private void reportOffset(long startedMillis) {
        own.onReportedOffset(
                "relay",
                startedMillis,
                Optional.ofNullable(relay.offsetsMillis().get("own")));
    }

    private long transitMillis(PeerMessage message) {
        return own.transitMillis(message).orElseThrow();
    }

    @Test
    void transitTimeIsUnknownWithoutReportedOffset() {
        assertEquals(OptionalLong.empty(), own.transitMillis(relayMessage(1)));
    }

    @Test
    void transitTimeIncludesDelay() {
        deliverToRelay(2);
        reportOffset(1);
        PeerMessage written = relayMessage(1);
        time.advanceMillis(3_000);

        assertEquals(3_002, transitMillis(written));
    }

    /** Guards against a delayed message that passes for fresh because of a delay in either direction. */
    @Test
    void transitTimeIsNeverUnderestimated() {
        for (long transitToRelayMillis : new long[] {0, 1, 200, 2_000}) {
            deliverToRelay(transitToRelayMillis);
            reportOffset(1);
            PeerMessage written = relayMessage(1);
            time.advanceMillis(700);

            assertTrue(transitMillis(written) >= 700, "with a transit time to the relay of " + transitToRelayMillis);
            time.advanceMillis(5_000);
        }
    }

    @Test
    void suspendedRelayMakesMessagesOlder() {
        deliverToRelay(1);
        reportOffset(1);
        suspendedMillis = 5_000;

        assertTrue(transitMillis(relayMessage(1)) >= 5_000);
    }

    @Test
    void offsetFromEarlierIncarnationIsIgnored() {
        deliverToRelay(1);
        reportOffset(1);

        assertEquals(OptionalLong.empty(), own.transitMillis(relayMessage(2)));
    }

    @Test
    void expiredOffsetIsReplacedBySmallerOne() {
        deliverToRelay(1);
        time.advanceMillis(1_600);
        deliverToRelay(400);
        time.advanceMillis(1_600);
        deliverToRelay(400);

        assertEquals(-RELAY_CLOCK_AHEAD_MILLIS - 400, relay.offsetsMillis().get("own"));
    }

    /** Guards against stale messages that look fresh after a restart, because of an offset to the earlier clock. */
    @Test
    void transitTimeIsUnknownForMessageFromTheFuture() {
        own.onReportedOffset("relay", 1, Optional.of(3_600_000L - RELAY_CLOCK_AHEAD_MILLIS));

        assertEquals(OptionalLong.empty(), own.transitMillis(relayMessage(1)));
    }
}
