package org.dogwoodwinch.measure.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.authority.ClaimPriority;
import org.dogwoodwinch.authority.FleetInventory;
import org.dogwoodwinch.authority.TargetActivity;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.control.ControlNode;
import org.dogwoodwinch.control.ControlPolicies;
import org.dogwoodwinch.control.ControlServices;
import org.dogwoodwinch.control.ControlSettings;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.standin.MemoryLog;
import org.dogwoodwinch.standin.MemoryLogLimits;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.ServiceClient;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetClientFactory;
import org.dogwoodwinch.time.VirtualTimeSource;

/** Control nodes in one process on virtual time, with a log that takes any number of appends and counts them. */
final class ControlFleet {

    private static final long RETENTION_MILLIS = 3_600_000;
    private static final MemoryLogLimits NO_CAP = new MemoryLogLimits(Integer.MAX_VALUE, RETENTION_MILLIS);

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final CountingLog log = new CountingLog(new MemoryLog(time, NO_CAP));
    private final List<Target> engines;
    private final List<ControlNode> nodes = new ArrayList<>();
    private final List<ClaimPriority.Candidate> members;

    /**
     * Creates a fleet whose nodes do not run yet.
     *
     * @param nodeCount instances of ours
     * @param groupCount engine groups
     * @param engineCount engines, spread evenly over the groups
     */
    ControlFleet(int nodeCount, int groupCount, int engineCount) {
        this.members = IntStream.range(0, nodeCount)
                .mapToObj(node -> new ClaimPriority.Candidate("entry-" + node, dataCentre(node)))
                .toList();
        this.engines = IntStream.range(0, engineCount)
                .mapToObj(engine -> new Target(
                        "engine-" + engine,
                        "10.0.0.1",
                        8_000,
                        dataCentre(engine % groupCount),
                        "model-" + engine % groupCount / TargetSize.DATA_CENTRES))
                .toList();
    }

    /** Starts all nodes. */
    void startAll() {
        for (int node = 0; node < members.size(); node++) {
            nodes.add(startNode(node));
        }
    }

    /**
     * Starts one node.
     *
     * @param node its number
     * @return the node
     */
    ControlNode startNode(int node) {
        ControlNode started = new ControlNode(
                ControlSettings.of("entry-" + node, RETENTION_MILLIS),
                services(node),
                ControlPolicies.STANDARD,
                time,
                RandomSource.XO_RO_SHI_RO_128_PP.create(node));
        started.start();
        return started;
    }

    private static String dataCentre(int number) {
        return "dc-" + number % TargetSize.DATA_CENTRES;
    }

    VirtualTimeSource time() {
        return time;
    }

    CountingLog log() {
        return log;
    }

    private ControlServices services(int node) {
        return new ControlServices(
                log,
                () -> CompletableFuture.completedFuture(0),
                SilentBoard.INSTANCE,
                () -> false,
                NoClients.INSTANCE,
                new RankedFleet(node),
                _target -> new TargetActivity.RequestsInFlight(true, 0, 0));
    }

    /** Claims go in the daemon's own order; nodes and groups are spread evenly over the data centres. */
    private final class RankedFleet implements FleetInventory {

        private final ClaimPriority.Candidate own;

        RankedFleet(int node) {
            this.own = members.get(node);
        }

        @Override
        public List<Target> engines() {
            return engines;
        }

        @Override
        public int claimRank(String group) {
            return ClaimPriority.rank(group, own, members);
        }
    }

    private enum SilentBoard implements PeerBus {
        INSTANCE;

        @Override
        public void publish(PeerTopic _topic, String _key, Bytes _payload, long _keepMillis) {}

        @Override
        public void subscribe(PeerTopic _topic, Consumer<PeerUpdate> _listener) {}
    }

    /** Without planned changes no engine is called. */
    private enum NoClients implements TargetClientFactory {
        INSTANCE;

        @Override
        public EngineClient engineClient(Target target) {
            throw new IllegalStateException("no engine is called in this measurement: " + target.name());
        }

        @Override
        public ServiceClient serviceClient(Target target) {
            throw new IllegalStateException("no service is called in this measurement: " + target.name());
        }
    }
}
