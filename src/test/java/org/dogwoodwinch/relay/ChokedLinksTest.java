package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays links of 10 Mbit/s that fill up. A connection opens only if one round trip through the queues of all links on
 * its way is shorter than its time-out.
 */
class ChokedLinksTest {

    private static final int TARGETS = 12;
    private static final long STEP_MILLIS = 10;
    private static final long CHOKE_BEGINS_MILLIS = 2_000;
    private static final long CHOKE_ENDS_MILLIS = 8_000;
    private static final long DAY_MILLIS = 14_000;

    private static final long LINK_BYTES_PER_MILLI = 1_250;
    private static final long LINK_BUFFER_BYTES = 1_500 * LINK_BYTES_PER_MILLI;
    private static final long BYTES_PER_PASSED_ON_CALL = 20_000;
    private static final long TARGET_CONNECT_MILLIS = 500;
    private static final long NEIGHBOUR_CONNECT_MILLIS = 300;
    private static final long RUN_MILLIS = 30;

    private static final Pattern REQUEST_ID = Pattern.compile("(?im)^request-id: (\\S+)\r?$");

    private enum Cut {
        SILENT,
        REFUSED
    }

    /** Guards against instances that give their calls to neighbours on equally full links. */
    @ParameterizedTest
    @ValueSource(ints = {6, 14, 16, 22})
    void instanceOnFullLinkDoesNotBelieveItselfCutOff(int instancesCount) {
        List<String> verdicts = new ArrayList<>();
        for (int seed = 1; seed <= 2; seed++) {
            Fleet fleet = new Fleet(instancesCount, seed);
            fleet.playUntil(DAY_MILLIS);
            verdicts.addAll(fleet.verdicts());
        }
        assertEquals(List.of(), verdicts);
    }

    /** Guards against a cut that is found later because links are watched. */
    @ParameterizedTest
    @CsvSource({"SILENT, 2100", "REFUSED, 500"})
    void cutIsFoundInTimeWhereLinksAreFree(Cut cut, long maxMillis) {
        for (int seed = 1; seed <= 8; seed++) {
            Fleet fleet = new Fleet(6, seed);
            fleet.choked = Set.of();
            fleet.playUntil(CHOKE_BEGINS_MILLIS);
            fleet.cut(0, cut);
            long foundMillis = fleet.playUntilIsolated(0) - CHOKE_BEGINS_MILLIS;
            assertTrue(foundMillis <= maxMillis, "seed " + seed + ": " + foundMillis + " ms");
        }
    }

    /** Guards against a cut that is not found because the links of near neighbours are full. */
    @ParameterizedTest
    @CsvSource({"SILENT, 2200", "REFUSED, 600"})
    void cutIsFoundWhileLinksOfNeighboursAreFull(Cut cut, long maxMillis) {
        for (int seed = 1; seed <= 8; seed++) {
            Fleet fleet = new Fleet(14, seed);
            fleet.choked = new HashSet<>(fleet.choked);
            fleet.choked.remove(0);
            fleet.playUntil(CHOKE_BEGINS_MILLIS + 2_000);
            fleet.cut(0, cut);
            long foundMillis = fleet.playUntilIsolated(0) - CHOKE_BEGINS_MILLIS - 2_000;
            assertTrue(foundMillis <= maxMillis, "seed " + seed + ": " + foundMillis + " ms");
            assertEquals(List.of("n0"), fleet.verdicts().stream().distinct().toList());
        }
    }

    /** Guards against a verdict that lasts because the calls that it passes on fill the link. */
    @Test
    void verdictEndsOnLinkThatIsFullOnceTargetAnswers() {
        Fleet fleet = new Fleet(6, 1);
        fleet.choked = Set.of();
        fleet.playUntil(CHOKE_BEGINS_MILLIS);
        fleet.cut(0, Cut.REFUSED);
        fleet.playUntilIsolated(0);
        fleet.endCut(0);
        RelayFixture instance = fleet.instances.get(0);
        fleet.pinned = true;
        IntStream.range(1, TARGETS).forEach(i -> instance.silentTargetIds.add("t" + i));
        IntStream.range(1, 9).forEach(i -> instance.neighbourLinks.silentNames.add("n" + i));

        fleet.playUntil(DAY_MILLIS);

        assertTrue(!instance.service.isIsolated(), "still cut off");
    }

    /** A data centre with one link each, and three instances of another one whose links stay free. */
    private static final class Fleet {
        private static final int FAR_INSTANCES = 3;

        private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
        private final long startMillis = time.monotonicMillis();
        private final UniformRandomProvider random;
        private final List<RelayFixture> instances = new ArrayList<>();
        private final long[] backlogBytes;
        private final int[] links;
        private final List<Answer> answers = new ArrayList<>();
        private final List<RelayFixture.FakeCaller> callers = new ArrayList<>();
        private Set<Integer> choked = new HashSet<>();
        private Cut cutOfFirst;
        private boolean pinned;
        private int nextCall;

        Fleet(int nearCount, int seed) {
            random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            int count = nearCount + FAR_INSTANCES;
            backlogBytes = new long[count];
            links = new int[count];
            IntStream.range(0, nearCount).forEach(choked::add);
            Set<String> names = new HashSet<>();
            IntStream.range(0, count).forEach(i -> names.add("n" + i));
            for (int i = 0; i < count; i++) {
                RelayFixture instance = new RelayFixture(20, time, "n" + i, names).withRoutes();
                IntStream.range(0, TARGETS).forEach(target -> instance.withPlainTarget("t" + target));
                instance.service.startIsolationWatch();
                instances.add(instance);
            }
            for (int i = 0; i < count; i++) {
                for (int other = 0; other < count; other++) {
                    if (other != i) {
                        instances
                                .get(i)
                                .neighbourLinks
                                .add("n" + other, instances.get(other), other < nearCount ? "dc-1" : "dc-2");
                    }
                }
            }
        }

        long nowMillis() {
            return time.monotonicMillis() - startMillis;
        }

        void playUntil(long untilMillis) {
            while (nowMillis() < untilMillis) {
                step();
            }
        }

        long playUntilIsolated(int index) {
            while (!instances.get(index).service.isIsolated() && nowMillis() < DAY_MILLIS) {
                step();
            }
            return nowMillis();
        }

        void cut(int index, Cut cut) {
            assertEquals(0, index);
            cutOfFirst = cut;
        }

        void endCut(int index) {
            assertEquals(0, index);
            cutOfFirst = null;
            setReachability(0);
        }

        List<String> verdicts() {
            return IntStream.range(0, instances.size())
                    .boxed()
                    .flatMap(i -> instances.get(i).neighbourLinks.toldIsolation.stream()
                            .filter(told -> told)
                            .map(_told -> "n" + i))
                    .toList();
        }

        private void step() {
            for (int i = 0; i < instances.size(); i++) {
                fillLink(i);
            }
            for (int i = 0; i < instances.size() && !pinned; i++) {
                setReachability(i);
            }
            for (int i = 0; i < instances.size(); i++) {
                if (random.nextInt(10) == 0) {
                    String path = random.nextInt(3) == 0 ? "/stream/p" : "/safe/p";
                    callers.add(instances
                            .get(i)
                            .connectCaller()
                            .send(RelayFixture.postRequest(path, "c" + nextCall++, "", "q")));
                }
                instances.get(i).neighbourLinks.deliver();
                receiveAtTargets(i);
            }
            answer();
            callers.forEach(RelayFixture.FakeCaller::takeReceived);
            callers.removeIf(RelayFixture.FakeCaller::isClosed);
            time.advanceMillis(STEP_MILLIS);
        }

        private void fillLink(int index) {
            boolean full =
                    choked.contains(index) && nowMillis() >= CHOKE_BEGINS_MILLIS && nowMillis() < CHOKE_ENDS_MILLIS;
            long offeredBytes = full ? (long) (LINK_BYTES_PER_MILLI * STEP_MILLIS * (0.8 + random.nextDouble())) : 0;
            int opened = instances.get(index).neighbourLinks.openLinksCount();
            offeredBytes += BYTES_PER_PASSED_ON_CALL * Math.max(0, opened - links[index]);
            links[index] = opened;
            long left = backlogBytes[index] + offeredBytes - LINK_BYTES_PER_MILLI * STEP_MILLIS;
            backlogBytes[index] = Math.max(0, Math.min(LINK_BUFFER_BYTES, left));
        }

        private long queueMillis(int index) {
            return backlogBytes[index] / LINK_BYTES_PER_MILLI;
        }

        private void setReachability(int index) {
            RelayFixture instance = instances.get(index);
            boolean isCut = index == 0 && cutOfFirst != null;
            boolean silent = isCut ? cutOfFirst == Cut.SILENT : queueMillis(index) >= TARGET_CONNECT_MILLIS;
            instance.silentTargetIds.clear();
            instance.unreachableTargetIds.clear();
            for (int i = 0; i < TARGETS; i++) {
                if (silent) {
                    instance.silentTargetIds.add("t" + i);
                } else if (isCut) {
                    instance.unreachableTargetIds.add("t" + i);
                }
            }
            instance.neighbourLinks.silentNames.clear();
            for (int other = 0; other < instances.size(); other++) {
                if (queueMillis(index) + queueMillis(other) >= NEIGHBOUR_CONNECT_MILLIS) {
                    instance.neighbourLinks.silentNames.add("n" + other);
                }
            }
        }

        private void receiveAtTargets(int index) {
            List<RelayFixture.FakeTargetConnection> connections = instances.get(index).targetConnections;
            for (RelayFixture.FakeTargetConnection connection : List.copyOf(connections)) {
                Matcher id = REQUEST_ID.matcher(connection.takeReceived());
                if (!connection.isOpen()) {
                    connections.remove(connection);
                } else if (index == 0 && cutOfFirst == Cut.REFUSED) {
                    connection.reset();
                } else if ((index != 0 || cutOfFirst == null) && id.find()) {
                    answers.add(new Answer(connection, id.group(1), nowMillis() + RUN_MILLIS + queueMillis(index)));
                }
            }
        }

        private void answer() {
            for (Answer answer : List.copyOf(answers)) {
                if (nowMillis() >= answer.atMillis) {
                    answers.remove(answer);
                    if (answer.connection.isOpen()) {
                        answer.connection.respond(RelayFixture.successResponse(answer.id, "done " + answer.id));
                    }
                }
            }
        }
    }

    private record Answer(RelayFixture.FakeTargetConnection connection, String id, long atMillis) {}
}
