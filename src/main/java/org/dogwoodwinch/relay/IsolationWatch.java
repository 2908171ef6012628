package org.dogwoodwinch.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.LinkDelay;
import org.dogwoodwinch.forwarding.TargetIsolation;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Opens connections to targets while it is suspected that this instance is cut off from all of them, and as long as it
 * is. Confined to one event loop.
 */
final class IsolationWatch {

    private static final Logger log = LoggerFactory.getLogger(IsolationWatch.class);
    private static final long CHECK_INTERVAL_MILLIS = 100;

    /** Longer than a target that is alive takes to accept a connection, also while its data centre is busy. */
    private static final long PROBE_TIMEOUT_MILLIS = 500;

    /** Opens a connection to a target without sending anything. */
    interface Prober {

        /**
         * Opens a connection.
         *
         * @param target the target, not null
         * @param onOutcome told once whether it was opened, not null
         * @return false if no connection could be tried, which says nothing about the target
         */
        boolean probe(Incarnation target, Consumer<Boolean> onOutcome);
    }

    private final TargetIsolation isolation;
    private final Supplier<List<Incarnation>> targets;
    private final Prober prober;
    private final LinkProbe linkProbe;
    private final TimeSource time;
    private final Consumer<Boolean> onChange;
    private long isolatedSinceMillis;

    /**
     * Creates a watch that does nothing before {@link #start}.
     *
     * @param isolation decides, not null
     * @param targets supplies the targets that may be probed, not null
     * @param prober opens connections, not null
     * @param linkProbe measures the delay of the own link beside each round, not null
     * @param time clock and timers of the event loop, not null
     * @param onChange told when this instance is cut off, and when no longer, not null
     */
    IsolationWatch(
            TargetIsolation isolation,
            Supplier<List<Incarnation>> targets,
            Prober prober,
            LinkProbe linkProbe,
            TimeSource time,
            Consumer<Boolean> onChange) {
        this.isolation = Objects.requireNonNull(isolation, "isolation");
        this.targets = Objects.requireNonNull(targets, "targets");
        this.prober = Objects.requireNonNull(prober, "prober");
        this.linkProbe = Objects.requireNonNull(linkProbe, "linkProbe");
        this.time = Objects.requireNonNull(time, "time");
        this.onChange = Objects.requireNonNull(onChange, "onChange");
    }

    /** Starts the checks. */
    void start() {
        time.schedule(CHECK_INTERVAL_MILLIS, () -> {
            start();
            check();
        });
    }

    /** Starts a round of probes if one is due. */
    private void check() {
        if (isolation.isProbeDue(time.monotonicMillis())) {
            new Round(isolation.startProbes(targets.get(), time.monotonicMillis())).begin();
        }
    }

    private void handleResult(Set<String> answered, Set<String> failed, LinkDelay delay) {
        long nowMillis = time.monotonicMillis();
        int failedTargetsCount = isolation.failedTargetsCount(nowMillis);
        long silentMillis = isolation.silentMillis(nowMillis);
        TargetIsolation.Change change = isolation.recordProbes(answered, failed, delay, nowMillis);
        LogEvent.of("targets_probed")
                .with("answered", answered)
                .with("failed", failed)
                .with("failedTargets", failedTargetsCount)
                .with("silentMillis", silentMillis)
                .with("linkDelayMillis", delay.shortestMillis().orElse(-1))
                .with("linkProbes", delay.startedCount())
                .with("linkSlow", delay.isSlow())
                .with("isolated", isolation.isIsolated())
                .info(log);
        if (change == TargetIsolation.Change.BEGAN) {
            isolatedSinceMillis = nowMillis;
            LogEvent.of("cut_off_from_targets")
                    .with("failedTargets", isolation.failedTargetsCount(nowMillis))
                    .with("silentMillis", silentMillis)
                    .warn(log);
            onChange.accept(true);
        } else if (change == TargetIsolation.Change.ENDED) {
            LogEvent.of("targets_reached_again")
                    .with("isolatedMillis", nowMillis - isolatedSinceMillis)
                    .warn(log);
            onChange.accept(false);
        }
    }

    /**
     * One round of probes. It ends when all have ended and the delay of the own link is known or too long, at the latest
     * at their time-out.
     */
    private final class Round {

        private final List<Incarnation> chosen;
        private final List<String> probedIds = new ArrayList<>();
        private final Set<String> answered = new HashSet<>();
        private final Set<String> failed = new HashSet<>();
        private Optional<LinkProbe.Measurement> link = Optional.empty();
        private boolean linkDecided;
        private boolean started;
        private boolean ended;

        Round(List<Incarnation> chosen) {
            this.chosen = chosen;
        }

        void begin() {
            time.schedule(PROBE_TIMEOUT_MILLIS, this::end);
            time.schedule(LinkDelay.SLOW_MILLIS + 1, this::decideLink);
            link = Optional.of(linkProbe.start(this::decideLink));
            for (Incarnation target : chosen) {
                if (prober.probe(target, connected -> recordOutcome(target.id(), connected))) {
                    probedIds.add(target.id());
                }
            }
            started = true;
            linkDecided |= delay().startedCount() == 0;
            endIfComplete();
        }

        private void decideLink() {
            linkDecided = true;
            endIfComplete();
        }

        private void recordOutcome(String targetId, boolean connected) {
            (connected ? answered : failed).add(targetId);
            endIfComplete();
        }

        private void endIfComplete() {
            if (started && linkDecided && answered.size() + failed.size() >= probedIds.size()) {
                end();
            }
        }

        private void end() {
            if (ended) {
                return;
            }
            ended = true;
            probedIds.stream().filter(id -> !answered.contains(id)).forEach(failed::add);
            handleResult(Set.copyOf(answered), Set.copyOf(failed), delay());
        }

        private LinkDelay delay() {
            return link.map(LinkProbe.Measurement::delay).orElse(LinkDelay.NOT_MEASURED);
        }
    }
}
