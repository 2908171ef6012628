package org.dogwoodwinch.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.authority.AuthorityRecord;
import org.dogwoodwinch.authority.FencingTokenRule;
import org.dogwoodwinch.authority.FleetInventory;
import org.dogwoodwinch.authority.LeasePolicy;
import org.dogwoodwinch.authority.OrderPolicy;
import org.dogwoodwinch.authority.TargetActivity;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.controllog.ControlRecord;
import org.dogwoodwinch.controllog.FollowerListener;
import org.dogwoodwinch.controllog.FollowerSettings;
import org.dogwoodwinch.controllog.LogFollower;
import org.dogwoodwinch.external.LogRecord;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.standin.EngineCost;
import org.dogwoodwinch.standin.MemoryLog;
import org.dogwoodwinch.standin.MemoryLogLimits;
import org.dogwoodwinch.standin.StandInEngine;
import org.dogwoodwinch.standin.StandInEngineObserver;
import org.dogwoodwinch.standin.StandInEngineOptions;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.EngineConfiguration;
import org.dogwoodwinch.target.EngineOrder;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.ServiceClient;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetClientFactory;
import org.dogwoodwinch.time.VirtualTimeSource;

/**
 * Simulates several instances, a log and engines in virtual time, and checks the invariants of the control stream.
 *
 * <p>Engines of group "checking" check fencing tokens; those of group "ignoring" do not. A reader without faults
 * provides the reference state that the log defines.
 */
final class ControlSimulation {

    static final ControlPolicies POLICIES =
            policies(CheckpointRule.NO_MISSING_RECORDS, 500, FencingTokenRule.INTENT_OFFSET);
    static final long RETENTION_MILLIS = 20_000;

    private static final long STEP_MILLIS = 50;
    private static final double[] CLOCK_RATES = {0.92, 1.0, 1.06};

    final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    final MemoryLog log = new MemoryLog(time, new MemoryLogLimits(300, RETENTION_MILLIS));
    final SortedMap<String, StandInEngine> engines = new TreeMap<>();
    final Map<String, TargetActivity.RequestsInFlight> inFlight = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    final Map<String, List<EngineOrder>> appliedOrders = new TreeMap<>();
    BiConsumer<Integer, ControlRecord> onAppend = (_instance, _record) -> {};

    private final ControlPolicies policies;
    private final ControlCodec codec = new ControlCodec();
    private final InMemoryPeerBoard peerBoard = new InMemoryPeerBoard();
    private final List<Target> targets = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private final ControlStateMachine referenceState = new ControlStateMachine(codec, ControlSnapshot.EMPTY);
    private final Map<String, Long> acceptedIntentOffsets = new HashMap<>();
    private int startedCount;

    ControlSimulation(int count, ControlPolicies policies) {
        this.policies = policies;
        for (String group : List.of("checking", "ignoring")) {
            addEngine(group, group + "-1");
            addEngine(group, group + "-2");
        }
        new LogFollower(log, new FollowerSettings("control", 500, 2_000, 50, 500), time, new ReferenceReader())
                .start(0);
        for (int i = 0; i < count; i++) {
            instances.add(newInstance(i, "entry-" + i, CLOCK_RATES[i % CLOCK_RATES.length]));
        }
    }

    static ControlPolicies policies(CheckpointRule checkpoints, long marginMillis, FencingTokenRule tokens) {
        return new ControlPolicies(
                checkpoints,
                new LeasePolicy(3_000, marginMillis, 1_000, 100),
                new OrderPolicy(500, 1_000, 200, 1_000, 500, 12_000, 500, 4_000, tokens));
    }

    Instance instance(int index) {
        return instances.get(index);
    }

    ControlStateMachine referenceState() {
        return referenceState;
    }

    int instanceCount() {
        return instances.size();
    }

    void restart(int index) {
        Instance old = instances.get(index);
        old.clock.kill();
        instances.set(index, newInstance(index, "entry-" + index, CLOCK_RATES[index % CLOCK_RATES.length]));
    }

    /** Returns the index of the instance that considers itself the lease holder of a group; -1 if there is none. */
    int holderIndexOf(String group) {
        for (int i = 0; i < instances.size(); i++) {
            if (instances.get(i).clock.isRunning()
                    && instances.get(i).node.leasedGroups().contains(group)) {
                return i;
            }
        }
        return -1;
    }

    void advance(long millis) {
        for (long elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += STEP_MILLIS) {
            time.advanceMillis(STEP_MILLIS);
            checkSingleHolder();
        }
    }

    /** Checks, after a period without faults, that every instance holds the reference state exactly. */
    void checkStatesConverged() {
        ControlSnapshot expected = referenceState.snapshot();
        for (Instance instance : instances) {
            ControlSnapshot actual = instance.node.snapshot();
            if (actual.coveredOffset() != expected.coveredOffset()
                    || !actual.catalogue().equals(expected.catalogue())
                    || !actual.edits().equals(expected.edits())
                    || !actual.authority().equals(expected.authority())) {
                violations.add("instance " + instance.name + " differs from the reference state at offset "
                        + actual.coveredOffset());
            }
            Catalogue inForce = instance.node.catalogue().current().orElse(Catalogue.EMPTY);
            if (!inForce.equals(expected.catalogue())) {
                violations.add("an accepted edit did not reach " + instance.name);
            }
        }
    }

    /** Checks that no engine applied an order after a later one, or one without an accepted intent on the log. */
    void checkOrders() {
        appliedOrders.forEach((engine, orders) -> {
            long highest = -1;
            for (EngineOrder order : orders) {
                long offset = acceptedIntentOffsets.getOrDefault(order.orderId(), Long.MIN_VALUE);
                if (offset < highest) {
                    violations.add(engine + " applied the order of offset " + offset + " after that of " + highest);
                }
                highest = Math.max(highest, offset);
            }
        });
    }

    private void addEngine(String group, String name) {
        EngineCost cost = EngineCost.STANDARD;
        EngineCost fast = new EngineCost(
                cost.prefillTokensPerSecond(),
                cost.stepBaseMillis(),
                cost.stepPerSequenceMillis(),
                cost.prefillChunkTokens(),
                cost.maxSequences(),
                cost.kvBytesPerToken(),
                cost.kvTotalBytes(),
                cost.kvTransferBytesPerSecond(),
                200,
                400);
        StandInEngineOptions options =
                StandInEngineOptions.STANDARD.withCost(fast).withChecksFencing(group.equals("checking"));
        EngineConfiguration initial = new EngineConfiguration(EngineRole.MIXED, "m", "1", new TreeSet<>());
        engines.put(name, new StandInEngine(name, "10.0.0.1:1", initial, options, time, new EngineRecorder()));
        targets.add(new Target(name, "10.0.0.1", 1, "kochi", group));
        appliedOrders.put(name, new ArrayList<>());
    }

    private Instance newInstance(int index, String name, double clockRate) {
        SimulatedClock clock = new SimulatedClock(time, clockRate, startedCount * 77_000_000_000L);
        SimulatedNetwork network = new SimulatedNetwork(
                time,
                log,
                clock,
                payload -> onAppend.accept(index, codec.decode(payload).orElseThrow()));
        ControlServices services = new ControlServices(
                network,
                () -> CompletableFuture.completedFuture(60),
                peerBoard,
                () -> true,
                new SimulatedClients(network),
                new SimulatedFleet(index),
                target -> inFlight.getOrDefault(target, new TargetActivity.RequestsInFlight(true, 0, 0)));
        ControlSettings settings = new ControlSettings(
                name, new FollowerSettings("control", 100, 2_000, 100, 500), 100, RETENTION_MILLIS / 4, 10_000, 500);
        ControlNode node = new ControlNode(
                settings, services, policies, clock, RandomSource.XO_RO_SHI_RO_128_PP.create(1_000L + startedCount++));
        Instance instance = new Instance(name, clock, network, node);
        node.catalogue().addListener(catalogue -> checkRevisionIncreases(instance, catalogue));
        node.start();
        return instance;
    }

    private void checkRevisionIncreases(Instance instance, Catalogue catalogue) {
        if (catalogue.revision() <= instance.lastRevision) {
            violations.add("the catalogue of " + instance.name + " went back to revision " + catalogue.revision());
        }
        instance.lastRevision = catalogue.revision();
    }

    private void checkSingleHolder() {
        Map<String, String> holders = new HashMap<>();
        for (Instance instance : instances) {
            if (!instance.clock.isRunning()) {
                continue;
            }
            for (String group : instance.node.leasedGroups()) {
                String otherHolder = holders.put(group, instance.name);
                if (otherHolder != null) {
                    violations.add(group + " is held by " + otherHolder + " and by " + instance.name);
                }
            }
        }
    }

    /** Records the orders that engines applied, and each interrupted request as a violation. */
    private final class EngineRecorder implements StandInEngineObserver {

        @Override
        public void onExecuted(String _engine, String _attemptId, String _prompt) {}

        @Override
        public void onApplied(String engine, EngineOrder order) {
            appliedOrders.get(engine).add(order);
        }

        @Override
        public void onCut(String engine, String attemptId) {
            violations.add(engine + " cut " + attemptId);
        }
    }

    /** Applies the log from its beginning, without faults. */
    private final class ReferenceReader implements FollowerListener {

        @Override
        public void onRecords(ReadResult.Records records) {
            for (LogRecord logRecord : records.records()) {
                referenceState
                        .apply(logRecord)
                        .filter(applied ->
                                applied.accepted() && applied.record() instanceof AuthorityRecord.OrderIntent)
                        .ifPresent(applied ->
                                acceptedIntentOffsets.put(applied.record().id(), applied.offset()));
            }
        }

        @Override
        public void onExpired(ReadResult.Expired expired) {
            throw new IllegalStateException("the reference reader missed records: " + expired);
        }

        @Override
        public void onUnavailable(String _detail) {}
    }

    /** A simulated instance of the daemon. */
    static final class Instance {

        final String name;
        final SimulatedClock clock;
        final SimulatedNetwork network;
        final ControlNode node;
        private long lastRevision = Catalogue.NO_REVISION;

        Instance(String name, SimulatedClock clock, SimulatedNetwork network, ControlNode node) {
            this.name = name;
            this.clock = clock;
            this.network = network;
            this.node = node;
        }
    }

    private final class SimulatedClients implements TargetClientFactory {

        private final SimulatedNetwork network;

        SimulatedClients(SimulatedNetwork network) {
            this.network = network;
        }

        @Override
        public EngineClient engineClient(Target target) {
            return network.engineClient(
                    engines.get(target.name()), target.group().equals("checking"));
        }

        @Override
        public ServiceClient serviceClient(Target target) {
            throw new IllegalStateException("no service " + target);
        }
    }

    private final class SimulatedFleet implements FleetInventory {

        private final int index;

        SimulatedFleet(int index) {
            this.index = index;
        }

        @Override
        public List<Target> engines() {
            return targets;
        }

        @Override
        public int claimRank(String _group) {
            return index;
        }
    }
}
