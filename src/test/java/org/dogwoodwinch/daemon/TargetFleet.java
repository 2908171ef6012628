package org.dogwoodwinch.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.follow.StreamListener;
import org.dogwoodwinch.forwarding.NoRateLimits;
import org.dogwoodwinch.forwarding.NoRests;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.dogwoodwinch.relay.TargetEvents;
import org.dogwoodwinch.settings.ForwardingSettings;

/** A simulated fleet that follows the entries of targets, each of which renews its entry about once a second. */
final class TargetFleet {

    static final int TARGETS_COUNT = 11;

    private static final long RENEWAL_MILLIS = 1_200;

    /** When each instance last took each target out of use. */
    private final Map<String, Map<String, Long>> outAtMillis = new HashMap<>();

    private final Map<String, Long> acknowledgedMillis = new HashMap<>();
    private final Map<String, TargetDirectory> directories = new HashMap<>();
    private final Set<String> sound = new HashSet<>();
    private final StorePolling polling;
    private final SimulatedFleet fleet;
    private boolean renewing = true;

    TargetFleet(int membersCount, int dataCentresCount, long seed) {
        ForwardingSettings settings =
                DaemonSockets.createSettings("front-1", "127.0.0.1:9", "\"promises\":{\"drainMillis\":2000}");
        this.polling = new StorePolling(settings);
        this.fleet = new SimulatedFleet(
                IntStream.range(0, membersCount)
                        .mapToObj(i -> "dc" + i % dataCentresCount)
                        .toList(),
                seed,
                new SimulatedFleet.StreamSetup(
                        polling.follower(),
                        polling.targetsReplica(),
                        TargetsReader::targetOf,
                        Optional.of(this::createReader)));
        for (int i = 0; i < TARGETS_COUNT; i++) {
            String targetId = "t" + i;
            sound.add(targetId);
            fleet.write(targetId, entry("ready"));
            fleet.time.schedule(RENEWAL_MILLIS * i / TARGETS_COUNT, () -> renewRegularly(targetId));
        }
    }

    private StreamListener createReader(SimulatedFleet.Member member) {
        TargetDirectory directory =
                new TargetDirectory(new TargetHealth(() -> 0), NoRateLimits.create(), NoRests.create());
        directories.put(member.name, directory);
        outAtMillis.put(member.name, new HashMap<>());
        return new TargetsReader(
                directory,
                new OutRecorder(member),
                new ForwardingMetrics(new PrometheusRegistry()),
                member.time(),
                () -> member.stream.lastReading(),
                polling.removalHold());
    }

    List<SimulatedFleet.Member> members() {
        return fleet.members;
    }

    SimulatedFleet.Member relay(String dataCentre) {
        return fleet.relay(dataCentre);
    }

    void advanceMillis(long millis) {
        fleet.time.advanceMillis(millis);
    }

    /** Starts an instance again, which knows nothing of before. */
    void restart(SimulatedFleet.Member member) {
        member.restart();
    }

    /** Lets a target leave for good. */
    void leave(String targetId, boolean announced) {
        if (announced) {
            sound.remove(targetId);
            acknowledge(targetId);
            fleet.write(targetId, entry("draining"));
        } else {
            remove(targetId);
        }
    }

    /** Removes the entry of a target, which stays away unless it is renewed. */
    void remove(String targetId) {
        sound.remove(targetId);
        acknowledge(targetId);
        System.out.println(fleet.time.monotonicMillis() + " REMOVE " + targetId);
        fleet.write(targetId, Optional.empty());
    }

    private void acknowledge(String targetId) {
        acknowledgedMillis.put(targetId, fleet.time.monotonicMillis());
        outAtMillis.values().forEach(out -> out.remove(targetId));
    }

    /** Lets no target renew its entry from now on, as while the store is away. */
    void pauseRenewals() {
        renewing = false;
    }

    /** Lets each target but one renew its entry within a time, and regularly from then on. */
    void renewWithin(long millis, UniformRandomProvider random, Optional<String> gone) {
        renewing = true;
        IntStream.range(0, TARGETS_COUNT)
                .mapToObj(i -> "t" + i)
                .filter(id -> gone.filter(id::equals).isEmpty())
                .forEach(id -> fleet.time.schedule(random.nextLong(millis), () -> {
                    System.out.println(fleet.time.monotonicMillis() + " RENEW " + id);
                    sound.add(id);
                    fleet.write(id, entry("ready"));
                }));
    }

    private void renewRegularly(String targetId) {
        if (renewing && sound.contains(targetId)) {
            fleet.write(targetId, entry("ready"));
        }
        fleet.time.schedule(RENEWAL_MILLIS, () -> renewRegularly(targetId));
    }

    /**
     * Returns the longest time from the acknowledgement of a target's leave after which an instance still had it in use;
     * very long if one has it still.
     */
    long worstDelayMillis(String targetId, Predicate<SimulatedFleet.Member> bound) {
        return members().stream()
                .filter(bound)
                .mapToLong(member -> isReady(member, targetId)
                        ? Long.MAX_VALUE
                        : outAtMillis.get(member.name).getOrDefault(targetId, 0L) - acknowledgedMillis.get(targetId))
                .max()
                .orElse(0);
    }

    /** Returns how many instances took a target out of use since its entry was removed, or have it out of use. */
    long outCount(String targetId) {
        return members().stream()
                .filter(member -> !isReady(member, targetId)
                        || outAtMillis.get(member.name).containsKey(targetId))
                .count();
    }

    private boolean isReady(SimulatedFleet.Member member, String targetId) {
        return directories
                .get(member.name)
                .find(targetId)
                .filter(target -> !target.draining())
                .isPresent();
    }

    private static Optional<Bytes> entry(String state) {
        return Optional.of(
                Bytes.ofUtf8("{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"dc\",\"version\":\"v1\","
                        + "\"slots\":6,\"state\":\"" + state + "\",\"coldLeftMs\":0,\"seq\":4}"));
    }

    /** Records when an instance takes a target out of use. */
    private final class OutRecorder implements TargetEvents {

        private final SimulatedFleet.Member member;

        OutRecorder(SimulatedFleet.Member member) {
            this.member = member;
        }

        @Override
        public void removeTarget(String targetId) {
            System.out.println(member.time().monotonicMillis() + " OUT " + member.name + " " + targetId);
            outAtMillis.get(member.name).putIfAbsent(targetId, member.time().monotonicMillis());
        }

        @Override
        public void handleTargetLost(String _targetId) {}

        @Override
        public void handleStageChange(String _targetId) {}

        @Override
        public void handleTargetRestart(String _targetId) {}
    }
}
