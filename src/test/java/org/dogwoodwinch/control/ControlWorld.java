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
import org.dogwoodwinch.target.TargetClients;
import org.dogwoodwinch.time.VirtualTimeSource;

/**
 * Several instances, a log and engines in one paused time, with the checkers of what must always hold.
 *
 * <p>Engines of group "checking" check fencing tokens, those of group "ignoring" do not. A
 * reader that is never disturbed gives the truth of what the log says.
 */
final class ControlWorld {

    static final ControlPolicies POLICIES =
            policies(CheckpointRule.ALL_RECORDS_AT_HAND, 500, FencingTokenRule.INTENT_OFFSET);
    static final long RETENTION_MILLIS = 20_000;

    private static final long STEP_MILLIS = 50;
    private static final double[] SPEEDS = {0.92, 1.0, 1.06};

    final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    final MemoryLog log = new MemoryLog(time, new MemoryLogLimits(300, RETENTION_MILLIS));
    final SortedMap<String, StandInEngine> engines = new TreeMap<>();
    final Map<String, TargetActivity.RequestsInFlight> inFlight = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    final Map<String, List<EngineOrder>> applied = new TreeMap<>();
    BiConsumer<Integer, ControlRecord> onAppend = (_instance, _record) -> {};

    private final ControlPolicies policies;
    private final ControlCodec codec = new ControlCodec();
    private final SharedBoard board = new SharedBoard();
    private final List<Target> targets = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private final ControlFold truth = new ControlFold(codec, ControlSnapshot.EMPTY);
    private final Map<String, Long> intents = new HashMap<>();
    private int started;

    ControlWorld(int count, ControlPolicies policies) {
        this.policies = policies;
        for (String group : List.of("checking", "ignoring")) {
            addEngine(group, group + "-1");
            addEngine(group, group + "-2");
        }
        new LogFollower(log, new FollowerSettings("control", 500, 2_000, 50, 500), time, new TruthReader()).start(0);
        for (int i = 0; i < count; i++) {
            instances.add(newInstance(i, "entry-" + i, SPEEDS[i % SPEEDS.length]));
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

    ControlFold truth() {
        return truth;
    }

    int size() {
        return instances.size();
    }

    void restart(int index) {
        Instance old = instances.get(index);
        old.clock.kill();
        instances.set(index, newInstance(index, "entry-" + index, SPEEDS[index % SPEEDS.length]));
    }

    /** Who may act for a group, by its own word; -1 where nobody. */
    int holderOf(String group) {
        for (int i = 0; i < instances.size(); i++) {
            if (instances.get(i).clock.isRunning()
                    && instances.get(i).node.liveGroups().contains(group)) {
                return i;
            }
        }
        return -1;
    }

    void run(long millis) {
        for (long done = 0; done < millis; done += STEP_MILLIS) {
            time.advanceMillis(STEP_MILLIS);
            checkOneHolder();
        }
    }

    /** After a calm while every instance must hold what the log says, byte for byte. */
    void checkSameStateEverywhere() {
        ControlSnapshot said = truth.snapshot();
        for (Instance each : instances) {
            ControlSnapshot own = each.node.snapshot();
            if (own.coveredOffset() != said.coveredOffset()
                    || !own.catalogue().equals(said.catalogue())
                    || !own.edits().equals(said.edits())
                    || !own.authority().equals(said.authority())) {
                violations.add("instance " + each.name + " differs at " + own.coveredOffset());
            }
            Catalogue inForce = each.node.catalogue().current().orElse(Catalogue.EMPTY);
            if (!inForce.equals(said.catalogue())) {
                violations.add("an accepted edit did not reach " + each.name);
            }
        }
    }

    /** No engine applied an order after a later one, nor one that the log does not hold. */
    void checkOrders() {
        applied.forEach((engine, orders) -> {
            long highest = -1;
            for (EngineOrder order : orders) {
                long offset = intents.getOrDefault(order.orderId(), Long.MIN_VALUE);
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
        EngineConfiguration first = new EngineConfiguration(EngineRole.MIXED, "m", "1", new TreeSet<>());
        engines.put(name, new StandInEngine(name, "10.0.0.1:1", first, options, time, new Truth()));
        targets.add(new Target(name, "10.0.0.1", 1, "kochi", group));
        applied.put(name, new ArrayList<>());
    }

    private Instance newInstance(int index, String name, double speed) {
        InstanceClock clock = new InstanceClock(time, speed, started * 77_000_000_000L);
        InstanceNetwork network = new InstanceNetwork(
                time,
                log,
                clock,
                payload -> onAppend.accept(index, codec.decode(payload).orElseThrow()));
        ControlServices services = new ControlServices(
                network,
                () -> CompletableFuture.completedFuture(60),
                board,
                () -> true,
                new Clients(network),
                new Fleet(index),
                target -> inFlight.getOrDefault(target, new TargetActivity.RequestsInFlight(true, 0, 0)));
        ControlSettings settings = new ControlSettings(
                name, new FollowerSettings("control", 100, 2_000, 100, 500), 100, RETENTION_MILLIS / 4, 10_000, 500);
        ControlNode node = new ControlNode(
                settings, services, policies, clock, RandomSource.XO_RO_SHI_RO_128_PP.create(1_000L + started++));
        Instance instance = new Instance(name, clock, network, node);
        node.catalogue().addListener(catalogue -> checkNeverBack(instance, catalogue));
        node.start();
        return instance;
    }

    private void checkNeverBack(Instance instance, Catalogue catalogue) {
        if (catalogue.revision() <= instance.lastRevision) {
            violations.add("the catalogue of " + instance.name + " went back to " + catalogue.revision());
        }
        instance.lastRevision = catalogue.revision();
    }

    private void checkOneHolder() {
        Map<String, String> holders = new HashMap<>();
        for (Instance each : instances) {
            if (!each.clock.isRunning()) {
                continue;
            }
            for (String group : each.node.liveGroups()) {
                String other = holders.put(group, each.name);
                if (other != null) {
                    violations.add(group + " is held by " + other + " and by " + each.name);
                }
            }
        }
    }

    /** Notes what engines really did. */
    private final class Truth implements StandInEngineObserver {

        @Override
        public void onExecuted(String _engine, String _attemptId, String _prompt) {}

        @Override
        public void onApplied(String engine, EngineOrder order) {
            applied.get(engine).add(order);
        }

        @Override
        public void onCut(String engine, String attemptId) {
            violations.add(engine + " cut " + attemptId);
        }
    }

    /** Folds the log from its beginning, undisturbed. */
    private final class TruthReader implements FollowerListener {

        @Override
        public void onRecords(ReadResult.Records records) {
            for (LogRecord each : records.records()) {
                truth.apply(each)
                        .filter(folded -> folded.accepted() && folded.record() instanceof AuthorityRecord.OrderIntent)
                        .ifPresent(folded -> intents.put(folded.record().id(), folded.offset()));
            }
        }

        @Override
        public void onExpired(ReadResult.Expired expired) {
            throw new IllegalStateException("the undisturbed reader missed records: " + expired);
        }

        @Override
        public void onUnavailable(String _detail) {}
    }

    /** One process. */
    static final class Instance {

        final String name;
        final InstanceClock clock;
        final InstanceNetwork network;
        final ControlNode node;
        private long lastRevision = Catalogue.NO_REVISION;

        Instance(String name, InstanceClock clock, InstanceNetwork network, ControlNode node) {
            this.name = name;
            this.clock = clock;
            this.network = network;
            this.node = node;
        }
    }

    private final class Clients implements TargetClients {

        private final InstanceNetwork network;

        Clients(InstanceNetwork network) {
            this.network = network;
        }

        @Override
        public EngineClient engine(Target target) {
            return network.to(engines.get(target.name()), target.group().equals("checking"));
        }

        @Override
        public ServiceClient service(Target target) {
            throw new IllegalStateException("no service " + target);
        }
    }

    private final class Fleet implements FleetInventory {

        private final int index;

        Fleet(int index) {
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
