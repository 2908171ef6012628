package org.dogwoodwinch.daemon;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.StreamId;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.relay.StreamOrigin;
import org.dogwoodwinch.relay.StreamTakeUp;

/** A day with releases and disruptions, on which callers take up broken streams at any instance. */
final class SoakDay {

    /** The time by which the views of two instances may differ. */
    static final long VIEW_DIFFERENCE_MILLIS = 3_000;

    static final long STEP_MILLIS = 10;
    private static final long DAY_MILLIS = 40_000;
    private static final long DRAIN_MILLIS = 3_000;

    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long[] TIMEOUTS_MILLIS = {1_000, 2_000, 5_000, 10_000};

    /** The time after a disruption of an instance from which its callers must be served. */
    private static final long STABLE_MILLIS = 3_000;

    private static final long CALLER_PAUSE_MILLIS = 200;
    private static final long ANSWER_MILLIS = 200;
    private static final int MAX_REFUSALS = 3;
    private static final long TRACED_PAST_MILLIS = 20_000;

    final UniformRandomProvider random;
    final SimulatedFleet fleet;
    final SoakResult result;
    final SoakRoute route;
    long timeoutMillis = TIMEOUT_MILLIS;
    private final Set<SoakDisturbance> disturbances;
    final long startMillis;
    private final List<SoakInstance> instances = new ArrayList<>();
    final List<SoakTarget> targets = new ArrayList<>();
    private final List<SoakStream> running = new ArrayList<>();
    private final SoakReleases releases;
    private long powerLostMillis = Long.MIN_VALUE;
    private int streamsCount;

    SoakDay(int instancesCount, int seed, Set<SoakDisturbance> disturbances) {
        this.result = new SoakResult(instancesCount + " instances, seed " + seed + ", " + disturbances);
        this.disturbances = Set.copyOf(disturbances);
        this.releases = new SoakReleases(this, disturbances.isEmpty() ? seed % 2 == 0 : seed % 3 != 0);
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.fleet = new SimulatedFleet(instancesCount, 3, seed);
        this.startMillis = nowMillis() + 3_000;
        this.route = new SoakRoute(
                this, plays(SoakDisturbance.MOVED_WEIGHTS) ? List.of("reader", "writer") : List.of("reader"));
        for (String service : route.services) {
            for (int i = 0; i < 8; i++) {
                targets.add(new SoakTarget(service, "v1", 0));
            }
        }
        fleet.members.forEach(member -> instances.add(new SoakInstance(this, member)));
        if (plays(SoakDisturbance.LOST_MESSAGES)) {
            fleet.isLost = this::isLost;
        }
        fleet.time.advanceMillis(3_000);
    }

    long nowMillis() {
        return fleet.time.monotonicMillis();
    }

    boolean plays(SoakDisturbance disturbance) {
        return disturbances.contains(disturbance);
    }

    boolean playsMore() {
        return !disturbances.isEmpty();
    }

    static String seconds(long millis, long startMillis) {
        return millis == 0 ? "-" : millis >= Long.MAX_VALUE / 2 ? "" : (millis - startMillis) / 1_000.0 + " s";
    }

    private boolean isLost(Bytes message) {
        String text = new String(message.toByteArray(), StandardCharsets.ISO_8859_1);
        boolean mayBeLost = Stream.of(PeerTopic.STREAM_BEGIN, PeerTopic.STREAM_ANSWER, PeerTopic.VERSIONS_ANSWER)
                .anyMatch(topic -> text.contains(topic.name()));
        return mayBeLost && random.nextInt(5) == 0;
    }

    private String now() {
        return seconds(nowMillis(), startMillis);
    }

    SoakResult play() {
        while (nowMillis() < startMillis + DAY_MILLIS + DRAIN_MILLIS) {
            instances.forEach(SoakInstance::readOn);
            if (nowMillis() < startMillis + DAY_MILLIS) {
                releases.change();
                crashTarget();
                disruptInstances();
                losePower();
                delayViews();
                changeTimeout();
                beginStreams();
            }
            endStreams();
            fleet.time.advanceMillis(STEP_MILLIS);
        }
        return result;
    }

    private void losePower() {
        if (random.nextInt(2_500) == 0) {
            losePowerOfMany();
        }
    }

    void losePowerOfMany() {
        loseAnyPower();
        if (plays(SoakDisturbance.SINGLE_SURVIVORS_AND_SECOND_LOSSES)) {
            fleet.time.schedule(1_300 + random.nextInt(4_000), this::loseAnyPower);
        }
    }

    /** All instances are killed, or most of them; what nobody is left to know of is not judged. */
    private void loseAnyPower() {
        powerLostMillis = nowMillis();
        Optional<SoakInstance> survivor = Optional.empty();
        if (plays(SoakDisturbance.SINGLE_SURVIVORS_AND_SECOND_LOSSES) && random.nextBoolean()) {
            survivor = Optional.of(instances.get(random.nextInt(instances.size())));
        }
        boolean ofAll = survivor.isPresent() || random.nextBoolean();
        for (SoakInstance instance : instances) {
            boolean isSpared = survivor.filter(instance::equals).isPresent();
            if (!instance.isDisrupted && !isSpared && (ofAll || random.nextInt(5) != 0)) {
                instance.kill();
            }
        }
    }

    private void crashTarget() {
        List<SoakTarget> listed = listedAt(nowMillis());
        if (random.nextInt(150) == 0 && listed.size() > 6 * route.services.size()) {
            SoakTarget crashed = listed.get(random.nextInt(listed.size()));
            crashed.removeAt(nowMillis(), 0);
            running.stream().filter(each -> crashed.equals(each.target)).forEach(each -> {
                each.breaks = true;
                each.endsMillis = nowMillis();
            });
            fleet.time.schedule(
                    1_500, () -> targets.add(new SoakTarget(crashed.service, crashed.version, nowMillis())));
        }
    }

    List<SoakTarget> listedAt(long millis) {
        return targets.stream().filter(each -> each.isListedAt(millis)).toList();
    }

    List<SoakTarget> listedOf(String service) {
        return listedAt(nowMillis()).stream()
                .filter(each -> each.service.equals(service))
                .toList();
    }

    private void disruptInstances() {
        if (random.nextInt(120) != 0) {
            return;
        }
        SoakInstance instance = instances.get(random.nextInt(instances.size()));
        if (!instance.isDisrupted) {
            switch (random.nextInt(3)) {
                case 0 -> instance.kill();
                case 1 -> instance.freeze(200 + random.nextInt(plays(SoakDisturbance.LONG_FREEZES) ? 5_800 : 1_500));
                default -> {
                    if (plays(SoakDisturbance.LONG_CUTS)) {
                        instance.cutOffFromAll(500 + random.nextInt(11_500));
                    } else {
                        instance.cutOff(500 + random.nextInt(3_000));
                    }
                }
            }
        }
    }

    private void delayViews() {
        boolean areLate = plays(SoakDisturbance.LATE_VIEWS) || plays(SoakDisturbance.FIRST_VIEWS_FROM_NEIGHBOURS);
        if (areLate && random.nextInt(40) == 0) {
            instances.get(random.nextInt(instances.size())).delayView(200 + random.nextInt(2_700));
        }
    }

    private void changeTimeout() {
        if (plays(SoakDisturbance.CHANGED_TIMEOUTS) && random.nextInt(400) == 0) {
            timeoutMillis = TIMEOUTS_MILLIS[random.nextInt(TIMEOUTS_MILLIS.length)];
            for (SoakInstance instance : instances) {
                fleet.time.schedule(random.nextInt(500), () -> instance.timeoutMillis = timeoutMillis);
            }
        }
    }

    private void beginStreams() {
        int count = random.nextInt(3);
        for (int i = 0; i < count; i++) {
            if (isAnyUp()) {
                beginStream(anyInstance());
            }
        }
    }

    private void beginStream(SoakInstance instance) {
        String requestId = "s" + streamsCount++;
        String service = instance.route().chooseServiceOf(requestId);
        Optional<SoakTarget> target = instance.choose(service, Optional.empty());
        result.wantedCount++;
        if (target.isPresent()) {
            result.begunCount++;
            StreamId id = new StreamId("owner", service, requestId);
            long deadlineMillis = playsMore() ? nowMillis() + instance.timeoutMillis : Long.MAX_VALUE;
            SoakStream stream = new SoakStream(id, target.get().version, nowMillis(), deadlineMillis);
            instance.recordBegin(stream);
            stream.trace
                    .append("began " + now() + " at " + instance.describe(service))
                    .append(", told " + instance.toldOf(id));
            run(stream, instance, target.get());
        }
    }

    private boolean isAnyUp() {
        return instances.stream().anyMatch(each -> !each.member.paused && !each.isDown);
    }

    private SoakInstance anyInstance() {
        SoakInstance instance = instances.get(random.nextInt(instances.size()));
        while (instance.member.paused || instance.isDown) {
            instance = instances.get(random.nextInt(instances.size()));
        }
        return instance;
    }

    /** Returns another instance that is in touch. */
    Optional<SoakInstance> anyOther(SoakInstance instance) {
        List<SoakInstance> others = instances.stream()
                .filter(other -> !other.equals(instance) && !other.isDisrupted)
                .toList();
        return others.isEmpty() ? Optional.empty() : Optional.of(others.get(random.nextInt(others.size())));
    }

    private void run(SoakStream stream, SoakInstance instance, SoakTarget target) {
        stream.instance = instance;
        stream.target = target;
        stream.endsMillis = nowMillis() + 100 + random.nextInt(playsMore() && random.nextInt(4) == 0 ? 6_000 : 1_500);
        stream.breaks = random.nextInt(2) == 0;
        running.add(stream);
    }

    private void endStreams() {
        for (SoakStream stream : List.copyOf(running)) {
            if (stream.endsMillis <= nowMillis() || stream.instance.isDown) {
                running.remove(stream);
                if (stream.breaks || stream.instance.isDown) {
                    fleet.time.schedule(5 + random.nextInt(200), () -> takeUp(stream));
                }
            }
        }
    }

    private void takeUp(SoakStream stream) {
        if (nowMillis() > stream.deadlineMillis) {
            return;
        }
        if (!isAnyUp()) {
            fleet.time.schedule(CALLER_PAUSE_MILLIS, () -> takeUp(stream));
            return;
        }
        SoakInstance instance = anyInstance();
        boolean isStable = !instance.isDisrupted && nowMillis() - instance.calmSinceMillis >= STABLE_MILLIS;
        StreamTakeUp takeUp = StreamTakeUp.on(instance.route(), stream.id.owner(), Optional.of(stream.id.requestId()));
        String service = stream.id.service();
        boolean isJudged = isStable
                && stream.beganMillis > powerLostMillis
                && takeUp.services().contains(service)
                && listedOf(service).stream()
                                .filter(each -> each.version.equals(stream.version))
                                .count()
                        >= 2;
        result.judgedCount += isJudged ? 1 : 0;
        boolean[] isAnswered = new boolean[1];
        if (playsMore()) {
            fleet.time.schedule(ANSWER_MILLIS, () -> {
                if (!isAnswered[0] && instance.isDown) {
                    takeUp(stream);
                }
            });
        }
        instance.sharing.find(takeUp, origin -> {
            isAnswered[0] = true;
            if (!(origin instanceof StreamOrigin.Known known)) {
                onRefused(stream, instance, isStable, origin);
                return;
            }
            instance.choose(known.service(), Optional.of(known.softwareVersion()))
                    .ifPresent(target -> {
                        stream.trace.append(
                                "; taken up " + now() + " at " + instance.describe(service) + " by " + known);
                        result.countBySource(known.source());
                        boolean isAllowed = takeUp.services().contains(target.service);
                        if (!isAllowed || !target.service.equals(service) || !target.version.equals(stream.version)) {
                            result.addJoined(describe(stream));
                        }
                        result.goneOnCount += isJudged ? 1 : 0;
                        run(stream, instance, target);
                    });
        });
    }

    private void onRefused(SoakStream stream, SoakInstance instance, boolean isStable, StreamOrigin origin) {
        result.refusedCount++;
        stream.trace.append("; refused " + now() + " at " + instance.describe(stream.id.service()) + " for " + origin);
        boolean isAllowed = instance.route().leadsTo(stream.id.service());
        if (isStable && isAllowed && instances.stream().anyMatch(each -> each.hasRecord(stream.id))) {
            result.addRefusedDespiteRecord(describe(stream));
        } else if (isStable && isAllowed && isOnlyVersion(stream)) {
            result.addRefusedDespiteObserver(describe(stream));
        }
        if (playsMore() && ++stream.refusalsCount < MAX_REFUSALS) {
            fleet.time.schedule(CALLER_PAUSE_MILLIS + random.nextInt(500), () -> takeUp(stream));
        }
    }

    /** Returns whether the service had no other version within a stream's lifetime, and an instance has seen that. */
    private boolean isOnlyVersion(SoakStream stream) {
        long sinceMillis = nowMillis() - timeoutMillis - 2 * VIEW_DIFFERENCE_MILLIS;
        return targets.stream()
                        .filter(each -> each.service.equals(stream.id.service())
                                && each.isListedWithin(sinceMillis, nowMillis()))
                        .allMatch(each -> each.version.equals(stream.version))
                && instances.stream().anyMatch(each -> each.hasRunSince(sinceMillis));
    }

    private String describe(SoakStream stream) {
        return stream.id.requestId() + " of " + stream.id.service() + " " + stream.version + " after "
                + (nowMillis() - stream.beganMillis) + " ms: " + stream.trace + "; lost power last "
                + (powerLostMillis < 0 ? "-" : seconds(powerLostMillis, startMillis)) + "; recorded now by "
                + instances.stream()
                        .filter(each -> each.hasRecord(stream.id))
                        .map(each -> each.member.name)
                        .toList()
                + "; listed " + versionsListed();
    }

    /** Returns when the set of listed versions changed. */
    private String versionsListed() {
        StringBuilder text = new StringBuilder();
        Set<String> previous = Set.of();
        for (long millis = nowMillis() - TRACED_PAST_MILLIS; millis <= nowMillis(); millis += STEP_MILLIS) {
            Set<String> listed = new TreeSet<>();
            listedAt(millis).forEach(each -> listed.add(each.service + " " + each.version));
            if (!listed.equals(previous)) {
                text.append(listed + " from " + seconds(millis, startMillis) + " ");
                previous = listed;
            }
        }
        return text.toString();
    }
}
