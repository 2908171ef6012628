package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Plays releases of the targets' software with crashes of targets, kills, freezes and cuts of instances, losses of power
 * of all or most instances, late views, and callers that take up broken streams at any instance, again and again. Each
 * further test adds one {@link SoakDisturbance}. Further seeds: {@code -Dsoak.seeds=50}; one size of the fleet:
 * {@code -Dsoak.instances=6}; the figures of all days: {@code -Dsoak.report=true}.
 */
class StreamVersionsSoakTest {

    private static final int DEFAULT_SEEDS = 3;
    private static final int[] INSTANCES_COUNTS = {6, 48, 90};

    @Test
    void noStreamIsJoinedFromTwoVersionsAndStreamsThatAreTakenUpGoOn() {
        play(Set.of());
    }

    @Test
    void noStreamIsJoinedWhenInstancesAreBackAfterRandomTimes() {
        play(Set.of(SoakDisturbance.RESTARTS_OF_RANDOM_LENGTH));
    }

    @Test
    void noStreamIsJoinedWhenAllInstancesButOneArePoweredOffAndPowerIsLostAgain() {
        play(Set.of(SoakDisturbance.SINGLE_SURVIVORS_AND_SECOND_LOSSES));
    }

    @Test
    void aViewThatIsLateIsNotTakenForAllVersionsOfAService() {
        play(Set.of(SoakDisturbance.LATE_VIEWS), new Setup(6, 22), new Setup(48, 5));
    }

    @Test
    void aFirstViewFromALateNeighbourIsNotTakenForAllVersionsOfAService() {
        play(Set.of(SoakDisturbance.FIRST_VIEWS_FROM_NEIGHBOURS), new Setup(6, 10), new Setup(6, 16), new Setup(6, 29));
    }

    @Test
    void aSuspendedInstanceNeitherDecidesByItsOldViewNorAnswersQuestionsOfEndedProcesses() {
        play(Set.of(SoakDisturbance.LONG_FREEZES), new Setup(6, 19), new Setup(6, 20), new Setup(6, 68));
    }

    @Test
    void streamsThatBeginAtAnInstanceThatIsCutOffFromAllAreNotTakenForThoseOfTheListedVersion() {
        play(Set.of(SoakDisturbance.LONG_CUTS), new Setup(6, 4), new Setup(6, 25), new Setup(6, 72), new Setup(48, 2));
    }

    @Test
    void aLowerTimeoutDoesNotForgetStreamsOfTheHigherOne() {
        play(Set.of(SoakDisturbance.CHANGED_TIMEOUTS), new Setup(6, 14), new Setup(6, 26));
    }

    @Test
    void lostBeginsAndAnswersAreNotTakenForTheAbsenceOfARecord() {
        play(Set.of(SoakDisturbance.LOST_MESSAGES), new Setup(6, 11));
    }

    @Test
    void streamsGoOnWhereTheyBeganWhenWeightsMoveAndReleasesBeginAfterAQuietTime() {
        play(Set.of(SoakDisturbance.MOVED_WEIGHTS), new Setup(30, 1), new Setup(30, 2), new Setup(30, 3));
    }

    @Test
    void streamsGoOnWhereTheyBeganWhenTheBeginsThatAreToldAfterwardsAreLost() {
        Set<SoakDisturbance> disturbances = Set.of(SoakDisturbance.MOVED_WEIGHTS, SoakDisturbance.LOST_MESSAGES);
        playAll(disturbances, List.of(new Setup(6, 1), new Setup(30, 1), new Setup(30, 2), new Setup(48, 1)));
    }

    private static void play(Set<SoakDisturbance> disturbances, Setup... further) {
        int seeds = Integer.getInteger("soak.seeds", DEFAULT_SEEDS);
        List<Setup> setups = new ArrayList<>();
        for (int instancesCount : INSTANCES_COUNTS) {
            for (int seed = 1; seed <= seeds; seed++) {
                setups.add(new Setup(instancesCount, seed));
            }
        }
        setups.addAll(List.of(further));
        playAll(disturbances, setups);
    }

    private static void playAll(Set<SoakDisturbance> disturbances, List<Setup> setups) {
        int onlyInstancesCount = Integer.getInteger("soak.instances", 0);
        List<String> failures = setups.stream()
                .filter(setup -> onlyInstancesCount == 0 || onlyInstancesCount == setup.instancesCount())
                .distinct()
                .flatMap(setup -> failuresOf(setup, disturbances).stream())
                .toList();
        assertEquals(List.of(), failures, () -> String.join("\n", failures));
    }

    private static List<String> failuresOf(Setup setup, Set<SoakDisturbance> disturbances) {
        SoakResult result = new SoakDay(setup.instancesCount(), setup.seed(), disturbances).play();
        if (Boolean.getBoolean("soak.report")) {
            System.out.println(result.report());
        }
        return result.failures();
    }

    private record Setup(int instancesCount, int seed) {}
}
