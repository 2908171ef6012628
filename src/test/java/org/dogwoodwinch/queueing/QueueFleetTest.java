package org.dogwoodwinch.queueing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.dogwoodwinch.queueing.QueueFleet.Call;
import org.dogwoodwinch.queueing.QueueFleet.CallClass;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The queues of 6, 48 and 90 instances before the same engines, for 10 s and until all calls have ended. */
class QueueFleetTest {

    private static final CallClass BRIEF = new CallClass("brief", 0, 71.2, 17_020, 3_720, 9, 527, 5_272, 3.5, 0.41);
    private static final CallClass DIGEST = new CallClass("digest", 1, 96.5, 9_190, 2_890, 4, 1_019, 3_057, 1.9, 0.58);
    private static final CallClass NOTE = new CallClass("note", 2, 77.8, 1_460, 1_110, 13, 2_511, 6_027, 0.75, 0.34);
    private static final List<CallClass> CLASSES = List.of(BRIEF, DIGEST, NOTE);
    private static final double TOKENS_PER_MILLI = 0.0712 * 3_720 + 0.0965 * 2_890 + 0.0778 * 1_110;
    private static final int ENGINES_COUNT = 8;
    private static final long DURATION_MILLIS = 10_000;
    private static final double OVERLOAD_RATIO = 1.5;

    /** Guards against calls that wait until they are late, and against priorities and sizes that are starved. */
    @ParameterizedTest
    @CsvSource({"6,1", "6,2", "48,1", "48,2", "90,1", "90,2"})
    void overloadIsServedByValueAndNoClassIsStarved(int instances, long seed) {
        double capacityPerMilli = TOKENS_PER_MILLI / OVERLOAD_RATIO;
        QueueFleet fleet = new QueueFleet(instances, ENGINES_COUNT, capacityPerMilli / ENGINES_COUNT, seed);
        fleet.run(CLASSES, owners(20, 1), 1, DURATION_MILLIS);

        double value = fleet.calls.stream().mapToDouble(Call::value).sum();
        assertTrue(value >= 0.9 * hindsightValue(fleet, capacityPerMilli), "value " + value);
        double briefs = ratio(fleet, call -> call.callClass.equals(BRIEF), Call::isServed);
        double digests = ratio(fleet, call -> call.callClass.equals(DIGEST), Call::isServed);
        double notes = ratio(fleet, call -> call.callClass.equals(NOTE), Call::isServed);
        assertTrue(briefs >= digests && digests >= notes, briefs + " " + digests + " " + notes);
        double largest = fleet.calls.stream()
                .sorted(Comparator.comparingInt((Call call) -> -call.callClass.inputTokens()))
                .limit(fleet.calls.size() / 10)
                .mapToInt(call -> call.isServed() ? 1 : 0)
                .average()
                .orElseThrow();
        assertTrue(largest >= 0.5 * ratio(fleet, _call -> true, Call::isServed), "largest tenth " + largest);
        assertTrue(
                fleet.calls.stream()
                        .allMatch(call -> call.heldUntilMillis <= call.arrivalMillis + call.deadlineMillis()),
                "a call was held past its deadline");
        assertTrue(
                fleet.calls.stream().allMatch(call -> call.firstEventMillis >= 0 || call.isTold),
                "a caller was neither served nor told a time");
        assertTrue(fleet.calls.stream().noneMatch(call -> call.refusedWhileFree), "refused with free capacity");
    }

    /** Guards against one owner whose calls take the capacity of the others, at its instance or across the fleet. */
    @ParameterizedTest
    @CsvSource({"6,1", "6,2", "48,1", "48,2", "90,1", "90,2"})
    void ownersAreServedAsOftenBesideOneThatAsksForTenTimesItsShare(int instances, long seed) {
        List<CallClass> samePriority =
                CLASSES.stream().map(each -> each.withPriority(1)).toList();
        double without = othersServed(instances, seed, samePriority, 0);
        double with = othersServed(instances, seed, samePriority, 1);

        assertTrue(with >= 0.9 * without, with + " with, " + without + " without");
    }

    /** Guards against a limit on a large owner while nobody else asks for the capacity. */
    @ParameterizedTest
    @ValueSource(ints = {6, 48, 90})
    void ownerGetsAllCapacityWhileOthersAreIdle(int instances) {
        double capacityPerMilli = TOKENS_PER_MILLI / OVERLOAD_RATIO;
        QueueFleet fleet = new QueueFleet(instances, ENGINES_COUNT, capacityPerMilli / ENGINES_COUNT, 1);
        fleet.run(CLASSES, owners(1, 1), 1, DURATION_MILLIS);

        long servedTokens = fleet.calls.stream()
                .filter(call ->
                        call.firstEventMillis >= 0 && call.firstEventMillis <= fleet.startMillis + DURATION_MILLIS)
                .mapToLong(call -> call.callClass.ownTokens())
                .sum();
        assertTrue(servedTokens >= 0.9 * capacityPerMilli * DURATION_MILLIS, servedTokens + " tokens");
    }

    /** Guards against calls that wait or are refused although there is capacity for all. */
    @ParameterizedTest
    @ValueSource(ints = {6, 48, 90})
    void nothingIsRefusedUnderOrdinaryLoad(int instances) {
        QueueFleet fleet = new QueueFleet(instances, ENGINES_COUNT, TOKENS_PER_MILLI / ENGINES_COUNT, 1);
        fleet.run(CLASSES, owners(20, 1), 0.7, DURATION_MILLIS);

        assertTrue(fleet.calls.stream().allMatch(call -> call.refusalsCount == 0 && call.isOnTime()));
    }

    private static double othersServed(int instances, long seed, List<CallClass> classes, double largeOwnerRatio) {
        QueueFleet fleet = new QueueFleet(instances, ENGINES_COUNT, TOKENS_PER_MILLI / ENGINES_COUNT, seed);
        Map<String, Double> owners = owners(9, 0.09);
        owners.put("large", largeOwnerRatio);
        fleet.run(classes, owners, 0.81 + largeOwnerRatio, DURATION_MILLIS);
        return ratio(fleet, call -> !call.owner.equals("large"), Call::isServed);
    }

    /** Returns the value of serving the classes on time by priority until the capacity of the overload is used up. */
    private static double hindsightValue(QueueFleet fleet, double capacityPerMilli) {
        double leftTokens = capacityPerMilli * DURATION_MILLIS;
        double value = 0;
        for (CallClass each : CLASSES) {
            long asked = fleet.calls.stream()
                    .filter(call -> call.callClass.equals(each))
                    .count();
            double served = Math.min((double) asked, leftTokens / each.ownTokens());
            leftTokens -= served * each.ownTokens();
            value += served * each.value();
        }
        return value;
    }

    private static Map<String, Double> owners(int count, double weight) {
        Map<String, Double> owners = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            owners.put("owner-" + i, weight);
        }
        return owners;
    }

    private static double ratio(QueueFleet fleet, Predicate<Call> of, Predicate<Call> counted) {
        long all = fleet.calls.stream().filter(of).count();
        return fleet.calls.stream().filter(of).filter(counted).count() / (double) all;
    }
}
