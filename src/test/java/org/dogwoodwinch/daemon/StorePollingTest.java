package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.dogwoodwinch.follow.ReplicaPolicy;
import org.dogwoodwinch.relay.TargetEntriesAge;
import org.dogwoodwinch.settings.ForwardingSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StorePollingTest {

    private static final int LAST_RANK = 100;

    /** Guards against a pause that makes an instance learn of a draining target after the promised time. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 10_000})
    void successorReadsTargetsWithinThePromisedDrainTime(long drainMillis) {
        StorePolling polling = new StorePolling(settings(drainMillis));
        ReplicaPolicy replica = polling.targetsReplica();

        long worstAgeMillis = replica.maxAgeMillis() + replica.takeoverDelayMillis(LAST_RANK);
        assertTrue(worstAgeMillis + replica.secondReadAfterMillis() < 0.9 * drainMillis, "age: " + worstAgeMillis);
        assertTrue(replica.secondReadAfterMillis() >= 100, replica::toString);
        assertEquals(drainMillis / 10, replica.readPauseMillis());
    }

    /** Guards against slower reads of the configuration, which is promised sooner than a drain. */
    @Test
    void otherStreamsKeepTheConfiguredPause() {
        assertEquals(
                100, new StorePolling(settings(3_000)).configurationReplica().readPauseMillis());
    }

    /** Guards against a late call of which no line tells. */
    @Test
    void entriesAreOldBeyondNineTenthsOfPromisedTime() {
        TargetEntriesAge age = new StorePolling(settings(2_000)).targetEntriesAge(() -> 0);

        assertFalse(age.isOld(1_800));
        assertTrue(age.isOld(1_801));
    }

    private static ForwardingSettings settings(long drainMillis) {
        return DaemonSockets.createSettings(
                "front-1", "127.0.0.1:9", "\"promises\":{\"drainMillis\":" + drainMillis + "}");
    }
}
