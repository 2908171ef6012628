package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

/**
 * Plays cuts of instances from all targets in series and overlapping, with crashes of targets and callers that leave.
 * Further seeds: {@code -Dsoak.seeds=50}.
 */
class CutOffSoakTest {

    private static final int DEFAULT_SEEDS = 8;
    private static final int INSTANCES = 5;
    private static final int TARGETS = 6;
    private static final long STEP_MILLIS = 10;
    private static final long DAY_MILLIS = 30_000;
    private static final long DRAIN_MILLIS = 8_000;
    private static final double CALLS_PER_STEP = 0.08;

    /** The time after the begin of a cut from which callers must be served as well as elsewhere. */
    private static final long STABLE_MILLIS = 3_000;

    private static final List<Cut> CUTS = List.of(Cut.SILENT, Cut.RESET, Cut.NEW_REFUSED);

    private static final Pattern REQUEST_ID = Pattern.compile("(?im)^request-id: (\\S+)\r?$");

    private enum Cut {
        NONE,
        SILENT,
        RESET,
        NEW_REFUSED
    }

    @Test
    void callersAreServedTruthfullyThroughCutsInSeriesAndOverlapping() {
        int seeds = Integer.getInteger("soak.seeds", DEFAULT_SEEDS);
        for (int seed = 1; seed <= seeds; seed++) {
            new Day(seed).play();
        }
    }

    private static final class Instance {
        private final String name;
        private final RelayFixture relay;
        private Cut cut = Cut.NONE;
        private long cutSinceMillis;
        private long cutUntilMillis;

        Instance(String name, RelayFixture relay) {
            this.name = name;
            this.relay = relay;
        }

        boolean isCut() {
            return cut != Cut.NONE;
        }
    }

    private static final class Call {
        private final String id;
        private final boolean once;
        private final boolean atCutInstance;
        private final boolean judged;
        private final RelayFixture.FakeCaller caller;
        private final StringBuilder received = new StringBuilder();
        private boolean left;

        Call(String id, boolean once, boolean atCutInstance, boolean judged, RelayFixture.FakeCaller caller) {
            this.id = id;
            this.once = once;
            this.atCutInstance = atCutInstance;
            this.judged = judged;
            this.caller = caller;
        }

        int status() {
            return received.length() < 12 ? 0 : Integer.parseInt(received.substring(9, 12));
        }
    }

    private record Run(String id, RelayFixture.FakeTargetConnection connection, Instance instance, long endsMillis) {}

    private static final class Day {
        private final int seed;
        private final UniformRandomProvider random;
        private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
        private final long startMillis = time.monotonicMillis();
        private final List<Instance> instances = new ArrayList<>();
        private final Map<String, Long> downUntilMillis = new HashMap<>();
        private final Map<String, Integer> runsById = new HashMap<>();
        private final List<Run> running = new ArrayList<>();
        private final List<Call> calls = new ArrayList<>();

        Day(int seed) {
            this.seed = seed;
            this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            Set<String> names = new HashSet<>();
            IntStream.range(0, INSTANCES).forEach(i -> names.add("n" + i));
            for (int i = 0; i < INSTANCES; i++) {
                RelayFixture relay = new RelayFixture(20, time, "n" + i, names).withRoutes();
                IntStream.range(0, TARGETS).forEach(target -> relay.withPlainTarget("t" + target));
                relay.service.startIsolationWatch();
                instances.add(new Instance("n" + i, relay));
            }
            for (Instance instance : instances) {
                instances.stream()
                        .filter(other -> other != instance)
                        .forEach(other -> instance.relay.neighbourLinks.add(other.name, other.relay));
            }
        }

        void play() {
            while (nowMillis() < DAY_MILLIS + DRAIN_MILLIS) {
                if (nowMillis() < DAY_MILLIS) {
                    changeLinks();
                    crashTargets();
                    sendCalls();
                }
                step();
            }
            check();
        }

        private long nowMillis() {
            return time.monotonicMillis() - startMillis;
        }

        private void step() {
            for (Instance instance : instances) {
                receiveAtTargets(instance);
                instance.relay.neighbourLinks.deliver();
            }
            answer();
            tellIsolation();
            for (Call call : calls) {
                call.received.append(call.caller.takeReceived());
            }
            time.advanceMillis(STEP_MILLIS);
        }

        private void changeLinks() {
            for (Instance instance : instances) {
                if (instance.isCut() && nowMillis() >= instance.cutUntilMillis) {
                    setCut(instance, Cut.NONE);
                } else if (!instance.isCut() && random.nextInt(600) == 0 && cutCount() < INSTANCES - 2) {
                    instance.cutUntilMillis = nowMillis() + 2_000 + random.nextInt(8_000);
                    setCut(instance, CUTS.get(random.nextInt(CUTS.size())));
                }
            }
        }

        private long cutCount() {
            return instances.stream().filter(Instance::isCut).count();
        }

        private void setCut(Instance instance, Cut cut) {
            instance.cut = cut;
            instance.cutSinceMillis = nowMillis();
            updateReachability(instance);
        }

        private void updateReachability(Instance instance) {
            instance.relay.unreachableTargetIds.clear();
            instance.relay.silentTargetIds.clear();
            downUntilMillis.keySet().forEach(instance.relay.unreachableTargetIds::add);
            for (int i = 0; i < TARGETS; i++) {
                if (instance.cut == Cut.SILENT) {
                    instance.relay.silentTargetIds.add("t" + i);
                } else if (instance.isCut()) {
                    instance.relay.unreachableTargetIds.add("t" + i);
                }
            }
            if (instance.cut == Cut.SILENT) {
                instance.relay.unreachableTargetIds.clear();
            }
        }

        private void crashTargets() {
            boolean back = downUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis());
            if (random.nextInt(500) == 0 && downUntilMillis.isEmpty()) {
                String target = "t" + random.nextInt(TARGETS);
                downUntilMillis.put(target, nowMillis() + 1_500);
                running.removeIf(run -> run.connection.targetId().equals(target));
                for (Instance instance : instances) {
                    List.copyOf(instance.relay.targetConnections).stream()
                            .filter(each -> each.targetId().equals(target) && each.isOpen())
                            .filter(_each -> instance.cut != Cut.SILENT)
                            .forEach(RelayFixture.FakeTargetConnection::close);
                }
                back = true;
            }
            if (back) {
                instances.forEach(this::updateReachability);
            }
        }

        private void sendCalls() {
            for (Instance instance : instances) {
                if (random.nextDouble() < CALLS_PER_STEP) {
                    String id = "c" + calls.size();
                    boolean once = random.nextBoolean();
                    boolean stable = !instance.isCut() || nowMillis() - instance.cutSinceMillis >= STABLE_MILLIS;
                    RelayFixture.FakeCaller caller = instance.relay.connectCaller();
                    Call call = new Call(id, once, instance.isCut(), stable && cutCount() > 0, caller);
                    caller.send(RelayFixture.postRequest(once ? "/once/p" : "/safe/p", id, "", id));
                    calls.add(call);
                    if (random.nextInt(50) == 0) {
                        call.left = true;
                        time.schedule(30, caller::disconnect);
                    }
                }
            }
        }

        private void receiveAtTargets(Instance instance) {
            for (RelayFixture.FakeTargetConnection connection : List.copyOf(instance.relay.targetConnections)) {
                if (!connection.isOpen()) {
                    instance.relay.targetConnections.remove(connection);
                    continue;
                }
                String received = connection.takeReceived();
                if (received.isEmpty() || instance.cut == Cut.SILENT) {
                    continue;
                }
                if (instance.cut == Cut.RESET) {
                    connection.reset();
                    continue;
                }
                Matcher id = REQUEST_ID.matcher(received);
                assertTrue(id.find(), received);
                runsById.merge(id.group(1), 1, Integer::sum);
                running.add(new Run(id.group(1), connection, instance, nowMillis() + 20 + random.nextInt(40)));
            }
        }

        private void answer() {
            for (Run run : List.copyOf(running)) {
                if (nowMillis() >= run.endsMillis) {
                    running.remove(run);
                    if (run.instance.cut == Cut.RESET && run.connection.isOpen()) {
                        run.connection.reset();
                    } else if (run.instance.cut != Cut.SILENT && run.connection.isOpen()) {
                        run.connection.respond(RelayFixture.successResponse(run.id, "done " + run.id));
                    }
                }
            }
        }

        private void tellIsolation() {
            Set<String> isolated = new HashSet<>();
            instances.stream().filter(each -> each.relay.service.isIsolated()).forEach(each -> isolated.add(each.name));
            for (Instance instance : instances) {
                instance.relay.neighbourLinks.isolatedNames.clear();
                instance.relay.neighbourLinks.isolatedNames.addAll(isolated);
            }
        }

        private void check() {
            for (Call call : calls) {
                String story = "seed " + seed + ", call " + call.id + ": " + call.received;
                int runs = runsById.getOrDefault(call.id, 0);
                assertTrue(!call.once || runs <= 1, () -> story + ", runs " + runs);
                if (call.left) {
                    continue;
                }
                assertEquals(1, call.received.toString().split("HTTP/1.1 ", -1).length - 1, story);
                assertTrue(call.status() != 503 || runs == 0, () -> story + ", runs " + runs);
                assertTrue(call.status() != 200 || call.received.toString().endsWith("done " + call.id), story);
            }
            checkServedAsWellAsElsewhere();
        }

        private void checkServedAsWellAsElsewhere() {
            List<Call> judged =
                    calls.stream().filter(call -> call.judged && !call.left).toList();
            List<Call> cut = judged.stream().filter(call -> call.atCutInstance).toList();
            List<Call> others =
                    judged.stream().filter(call -> !call.atCutInstance).toList();
            long failed = cut.stream().filter(call -> call.status() != 200).count();
            assertTrue(
                    servedShare(cut) >= 2.0 / 3 * servedShare(others),
                    () -> "seed " + seed + ": " + failed + " of " + cut.size() + " failed at cut instances, served "
                            + servedShare(cut) + ", elsewhere " + servedShare(others));
        }

        private static double servedShare(List<Call> some) {
            return some.isEmpty()
                    ? 1
                    : some.stream().filter(call -> call.status() == 200).count() / (double) some.size();
        }
    }
}
