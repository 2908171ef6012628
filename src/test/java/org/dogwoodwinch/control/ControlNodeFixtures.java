package org.dogwoodwinch.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.authority.FleetInventory;
import org.dogwoodwinch.authority.TargetActivity;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.standin.MemoryLog;
import org.dogwoodwinch.standin.MemoryLogLimits;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.ServiceClient;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetClientFactory;
import org.dogwoodwinch.time.TimeSource;
import org.dogwoodwinch.time.VirtualTimeSource;

/** Creates control nodes without engines for tests. */
public final class ControlNodeFixtures {

    private ControlNodeFixtures() {}

    /**
     * Starts a single node with its own log and lets it read the log to its end.
     *
     * @param time the clock of the node
     * @return the node
     */
    public static ControlNode newStartedNode(VirtualTimeSource time) {
        MemoryLog log = new MemoryLog(time, MemoryLogLimits.STANDARD);
        ControlNode node = node(ControlSettings.of("entry-1", 3_600_000), log, new InMemoryPeerBoard(), time);
        node.start();
        time.advanceMillis(1_000);
        return node;
    }

    static ControlNode node(ControlSettings settings, LogService log, PeerBus board, TimeSource time) {
        ControlServices services = new ControlServices(
                log,
                () -> CompletableFuture.completedFuture(6),
                board,
                () -> true,
                new NoTargets(),
                new EmptyFleet(),
                _target -> new TargetActivity.RequestsInFlight(true, 0, 0));
        return new ControlNode(
                settings,
                services,
                ControlPolicies.STANDARD,
                time,
                RandomSource.XO_RO_SHI_RO_128_PP.create(settings.instance().hashCode()));
    }

    /** A fleet without engines. */
    private static final class EmptyFleet implements FleetInventory {

        @Override
        public List<Target> engines() {
            return List.of();
        }

        @Override
        public int claimRank(String _group) {
            return 0;
        }
    }

    /** Creates no clients, since there are no engines. */
    private static final class NoTargets implements TargetClientFactory {

        @Override
        public EngineClient engineClient(Target target) {
            throw new IllegalStateException("no engine " + target);
        }

        @Override
        public ServiceClient serviceClient(Target target) {
            throw new IllegalStateException("no service " + target);
        }
    }
}
