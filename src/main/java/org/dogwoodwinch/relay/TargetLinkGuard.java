package org.dogwoodwinch.relay;

import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.forwarding.TargetIsolation;
import org.dogwoodwinch.time.TimeSource;

/**
 * Keeps failures of this instance's own links apart from failures of targets. Confined to one event loop.
 *
 * <p>Failure: an instance is cut off from all targets. Each of its calls looks like the victim of a crash, and each
 * target broken, and the other instances are told so.
 */
final class TargetLinkGuard implements TargetConnectionPool.Events {

    /**
     * The time after which an unreachable target counts as crashed: an instance that is cut off from all targets finds
     * that out meanwhile, and its calls must not become suspects of the whole fleet.
     */
    private static final long CRASH_EVIDENCE_DELAY_MILLIS = 200;

    private final TargetIsolation isolation;
    private final TargetHealth health;
    private final Suspicions suspicions;
    private final RelayReport report;
    private final ForwardingMetrics metrics;
    private final TimeSource time;
    private final Consumer<Boolean> onIsolationChange;

    /**
     * Creates a guard.
     *
     * @param isolation decides whether this instance is cut off, not null
     * @param health the targets that were recently unreachable, not null
     * @param suspicions the calls that are suspected of crashing targets, not null
     * @param report receives decisions about targets, not null
     * @param metrics counts connections, not null
     * @param time clock and timers of the event loop, not null
     * @param onIsolationChange told when this instance is cut off, and when no longer, not null
     */
    TargetLinkGuard(
            TargetIsolation isolation,
            TargetHealth health,
            Suspicions suspicions,
            RelayReport report,
            ForwardingMetrics metrics,
            TimeSource time,
            Consumer<Boolean> onIsolationChange) {
        this.isolation = Objects.requireNonNull(isolation, "isolation");
        this.health = Objects.requireNonNull(health, "health");
        this.suspicions = Objects.requireNonNull(suspicions, "suspicions");
        this.report = Objects.requireNonNull(report, "report");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.time = Objects.requireNonNull(time, "time");
        this.onIsolationChange = Objects.requireNonNull(onIsolationChange, "onIsolationChange");
    }

    /** Returns a watch over the connections of a pool. */
    IsolationWatch watch(
            Supplier<List<Incarnation>> targets,
            IsolationWatch.Prober prober,
            LinkProbe linkProbe,
            Runnable closeIdle) {
        return new IsolationWatch(isolation, targets, prober, linkProbe, time, isolated -> {
            if (isolated) {
                // Connections that were open during a cut may be dead without a sign.
                closeIdle.run();
            }
            handleChange(isolated);
        });
    }

    /** Handles the begin or end of a cut: what failed because of it says nothing about targets and calls. */
    private void handleChange(boolean isolated) {
        metrics.setIsolated(isolated);
        if (isolated) {
            suspicions.forgetLostCalls();
        } else {
            health.endEjections();
        }
        onIsolationChange.accept(isolated);
    }

    @Override
    public void opened(String targetId) {
        metrics.connectionOpened();
        isolation.recordConnected(targetId);
    }

    @Override
    public void unreachable(String targetId) {
        isolation.recordFailure(targetId, time.monotonicMillis());
        report.targetUnreachable(targetId, health.recordUnreachable(targetId), "connect_failed");
        time.schedule(CRASH_EVIDENCE_DELAY_MILLIS, () -> {
            if (!isolation.isIsolated() && !isolation.isUndecided()) {
                suspicions.handleTargetLost(targetId);
            }
        });
    }

    @Override
    public void answerRepeated(String _targetId, String reason) {
        metrics.answerRepeated(reason);
    }

    @Override
    public void heard() {
        isolation.recordHeard(time.monotonicMillis());
    }
}
