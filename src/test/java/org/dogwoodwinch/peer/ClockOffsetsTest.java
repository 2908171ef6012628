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
    private static final long APART_MILLIS = 7_777_777;

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final ClockOffsets own = new ClockOffsets(time);
    private final ClockOffsets relays = new ClockOffsets(time);
    private long suspendedMillis;

    private static PeerMessage message(String sender, long startedMillis, long clockMillis) {
        return new PeerMessage(
                PeerMessage.VERSION, sender, startedMillis, 1, 0, clockMillis, Optional.empty(), false, List.of());
    }

    private PeerMessage ofRelay(long startedMillis) {
        return message("relay", startedMillis, time.monotonicMillis() + APART_MILLIS - suspendedMillis);
    }

    /** Delivers a message of this instance to the relay after a transit time. */
    private void relayHears(long wayMillis) {
        long writtenMillis = time.monotonicMillis();
        time.advanceMillis(wayMillis);
        relays.onMessage(message("own", 1, writtenMillis - APART_MILLIS));
    }

    private void relayTells(long startedMillis) {
        own.onReportedOffset(
                "relay",
                startedMillis,
                Optional.ofNullable(relays.offsetsMillis().get("own")));
    }

    private long wayMillis(PeerMessage message) {
        return own.transitMillis(message).orElseThrow();
    }

    @Test
    void ofOneThatToldNothingNoWayIsKnown() {
        assertEquals(OptionalLong.empty(), own.transitMillis(ofRelay(1)));
    }

    @Test
    void whatWaitedOnItsWayIsAsOldAsItIs() {
        relayHears(2);
        relayTells(1);
        PeerMessage written = ofRelay(1);
        time.advanceMillis(3_000);

        assertEquals(3_002, wayMillis(written));
    }

    /** Guards against a delayed message that passes for fresh because of a delay in either direction. */
    @Test
    void noDelayMakesAMessageYounger() {
        for (long wayThere : new long[] {0, 1, 200, 2_000}) {
            relayHears(wayThere);
            relayTells(1);
            PeerMessage written = ofRelay(1);
            time.advanceMillis(700);

            assertTrue(wayMillis(written) >= 700, "after a way there of " + wayThere);
            time.advanceMillis(5_000);
        }
    }

    @Test
    void aSuspensionOfTheRelayMakesItsMessagesOlder() {
        relayHears(1);
        relayTells(1);
        suspendedMillis = 5_000;

        assertTrue(wayMillis(ofRelay(1)) >= 5_000);
    }

    @Test
    void whatWasToldByAnEarlierStartSaysNothingOfTheLater() {
        relayHears(1);
        relayTells(1);

        assertEquals(OptionalLong.empty(), own.transitMillis(ofRelay(2)));
    }

    @Test
    void anOldDifferenceIsForgottenWhereNewOnesAreSmaller() {
        relayHears(1);
        time.advanceMillis(1_600);
        relayHears(400);
        time.advanceMillis(1_600);
        relayHears(400);

        assertEquals(-APART_MILLIS - 400, relays.offsetsMillis().get("own"));
    }

    /** Guards against stale messages that look fresh after a restart, because of an offset to the earlier clock. */
    @Test
    void aWordFromTheFutureProvesNothing() {
        own.onReportedOffset("relay", 1, Optional.of(3_600_000L - APART_MILLIS));

        assertEquals(OptionalLong.empty(), own.transitMillis(ofRelay(1)));
    }
}
