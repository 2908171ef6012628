package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Instances that start while the platform turns them away know what their neighbours know. */
class WarmStartTest {

    private static final int RECORDS = 5;

    /** A relay gives a sign of life every 300 ms: the first one finds the new process, and all follows it. */
    private static final long WARM_MILLIS = 700;

    /** Nine tenths of the least time in which a configuration or a leaving target has to be heeded everywhere. */
    private static final long BOUND_MILLIS = 1_800;

    private static RelayFleet settled(int members, int centres, int seed) {
        RelayFleet fleet = new RelayFleet(members, centres, seed);
        fleet.time.advanceMillis(3_000);
        for (int i = 0; i < RECORDS; i++) {
            fleet.write();
        }
        fleet.time.advanceMillis(2_000);
        return fleet;
    }

    private static List<RelayFleet.Member> of(RelayFleet fleet, String dataCentre) {
        return fleet.members.stream()
                .filter(member -> member.dataCentre.equals(dataCentre))
                .toList();
    }

    /**
     * An instance starts while the store turns it away, and knows no address but its own. Callers that reach it are refused
     * for as long, since it has no configuration and no targets, though each neighbour has both. A neighbour that connects
     * to it anew tells it everything at once.
     */
    @Test
    void anInstanceThatIsTurnedAwayKnowsWhatItsNeighboursKnow() {
        RelayFleet fleet = settled(24, 3, 11);
        RelayFleet.Member started = fleet.members.stream()
                .filter(member -> !member.exchange.isRelay())
                .findFirst()
                .orElseThrow();
        started.storeCut = true;
        started.knowsOthers = false;
        started.restart();
        fleet.time.advanceMillis(WARM_MILLIS);
        assertEquals(RECORDS, started.appliedAtMillis.size());
    }

    /**
     * A whole data centre loses power, and the store turns all of it away for ten seconds. Its callers have nobody else
     * near them. The reader of another data centre tells its first instance, which tells the others; what is written
     * meanwhile reaches them by the same way in time.
     */
    @Test
    void aDataCentreThatIsTurnedAwayLivesOnTheWordOfAnother() {
        RelayFleet fleet = settled(24, 3, 12);
        List<RelayFleet.Member> turnedAway = of(fleet, "dc0");
        turnedAway.forEach(member -> member.storeCut = true);
        turnedAway.forEach(RelayFleet.Member::restart);
        fleet.time.advanceMillis(BOUND_MILLIS);
        turnedAway.forEach(member -> assertEquals(RECORDS, member.appliedAtMillis.size(), member.name));
        fleet.time.advanceMillis(2_000);
        fleet.write();
        fleet.time.advanceMillis(BOUND_MILLIS);
        turnedAway.forEach(member -> assertEquals(RECORDS + 1, member.appliedAtMillis.size(), member.name));
    }

    /** All lose power at once, and the store answers one instance in six: the others serve by what these have read. */
    @Test
    void whereAllStartAtOnceThoseThatReadTellTheOthers() {
        RelayFleet fleet = settled(24, 3, 13);
        for (int i = 0; i < fleet.members.size(); i++) {
            fleet.members.get(i).storeCut = i % 6 != 0;
        }
        fleet.members.forEach(RelayFleet.Member::restart);
        fleet.time.advanceMillis(3_000);
        fleet.members.forEach(member -> assertEquals(RECORDS, member.appliedAtMillis.size(), member.name));
    }

    /** What it was told is no older than what the relay has, and the store's own word comes on top of it. */
    @Test
    void theStoresWordGoesOnWhereTheNeighboursEnded() {
        RelayFleet fleet = settled(24, 3, 14);
        RelayFleet.Member started = of(fleet, "dc1").get(0);
        started.storeCut = true;
        started.restart();
        fleet.time.advanceMillis(WARM_MILLIS);
        started.storeCut = false;
        fleet.write();
        fleet.time.advanceMillis(BOUND_MILLIS);
        assertEquals(RECORDS + 1, started.appliedAtMillis.size());
        assertTrue(started.appliedAtMillis.get((long) RECORDS) >= started.appliedAtMillis.get(0L));
    }
}
