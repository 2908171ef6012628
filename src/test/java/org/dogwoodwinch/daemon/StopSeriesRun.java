package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.standin.platform.PlatformStandIn;
import org.dogwoodwinch.standin.platform.TargetFault;
import org.dogwoodwinch.standin.platform.TargetStandIn;
import org.dogwoodwinch.standin.platform.TargetTraits;

/** Instances that are stopped, reloaded and killed in series, before sound targets of which some work long. */
final class StopSeriesRun implements AutoCloseable {

    /** Long enough that the grace period of a stop ends within a call. */
    private static final TargetTraits LONG_PLAIN = new TargetTraits("", 64, 1, 4_500, 1, 0, 0);

    /** Long enough that the grace period of a stop ends within a stream. */
    private static final TargetTraits LONG_STREAM = new TargetTraits("decode", 64, 20, 600, 8, 400_000, 3_000);

    /** Less than a fast plain target has, so that calls are passed on to slow ones too. */
    private static final TargetTraits SHORT_PLAIN = new TargetTraits("", 4, 1, 100, 1, 0, 0);

    private static final int LONG_TARGETS = 2;
    private static final int CONNECTED_INSTANCES = 4;
    private static final int CALLERS = 40;
    private static final int ACTORS = 2;
    private static final int ACTIONS_EACH = 3;
    private static final double KILLED_SHARE = 0.2;
    private static final List<StutterCall.Kind> KINDS = List.of(StutterCall.Kind.values());

    private final Transport platformLoop = Transport.start(1);
    private final PlatformStandIn platform;
    private final List<StopSeriesInstance> instances = new ArrayList<>();
    private final long seed;
    private volatile boolean hasEnded;

    /** Starts the targets and the instances, of which the last one has no links to the targets. */
    StopSeriesRun(long seed) throws IOException {
        this.seed = seed;
        this.platform = new PlatformStandIn(
                platformLoop, new EventLoopTime(platformLoop.eventLoopGroup().next()), _request -> TargetFault.NONE);
        addTarget("i-short", SHORT_PLAIN);
        for (int i = 0; i < LONG_TARGETS; i++) {
            addTarget("i-plain" + i, LONG_PLAIN);
            addTarget("i-stream" + i, LONG_STREAM);
        }
        for (int i = 0; i <= CONNECTED_INSTANCES; i++) {
            instances.add(new StopSeriesInstance("n" + i, platform, 100L * seed + 10L * i, i < CONNECTED_INSTANCES));
        }
    }

    private void addTarget(String id, TargetTraits traits) throws IOException {
        platform.addStuttering(id, traits, _request -> TargetFault.NONE, (_request, _answer) -> Optional.empty());
    }

    /** Plays all actions while callers send calls, and returns what they received. */
    List<StopSeriesReply> play() throws IOException, InterruptedException, ExecutionException {
        ExecutorService threads = Executors.newFixedThreadPool(CALLERS + ACTORS);
        try {
            List<Future<List<StopSeriesReply>>> calling = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1_000 * seed + caller);
                int callerNumber = caller;
                calling.add(threads.submit(new StopSeriesCaller(
                        caller, instances, callNumber -> drawCall(random, callerNumber, callNumber), () -> hasEnded)));
            }
            List<Future<Void>> acting = new ArrayList<>();
            for (int actor = 0; actor < ACTORS; actor++) {
                int number = actor;
                acting.add(threads.submit(() -> act(number)));
            }
            for (Future<Void> actor : acting) {
                actor.get();
            }
            hasEnded = true;
            List<StopSeriesReply> replies = new ArrayList<>();
            for (Future<List<StopSeriesReply>> caller : calling) {
                replies.addAll(caller.get());
            }
            return replies;
        } finally {
            hasEnded = true;
            threads.shutdownNow();
        }
    }

    private static StutterCall drawCall(UniformRandomProvider random, int callerNumber, int callNumber) {
        String id = String.format("%04x%04x", callerNumber, callNumber);
        return new StutterCall(id, KINDS.get(random.nextInt(KINDS.size())), "e" + id);
    }

    /** Stops or kills some of the connected instances one after another; two actors share no instance. */
    private Void act(int actor) throws IOException, InterruptedException {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(2_000 + ACTORS * seed + actor);
        for (int i = 1; i <= ACTIONS_EACH; i++) {
            StopSeriesInstance instance = instances.get(actor + ACTORS * random.nextInt(CONNECTED_INSTANCES / ACTORS));
            if (i > 1 && random.nextDouble() < KILLED_SHARE) {
                instance.killAndStart(i);
            } else {
                instance.stopAndStart(i, random.nextBoolean());
            }
            instances.get(random.nextInt(CONNECTED_INSTANCES)).reload();
        }
        return null;
    }

    /** Returns whether the instance of a reply was killed, so that nobody could answer. */
    boolean wasKilled(StopSeriesReply reply) {
        return instances.stream().anyMatch(instance -> instance.wasKilled(reply.instance()));
    }

    int runsOf(StopSeriesReply reply) {
        return platform.targets().stream()
                .mapToInt((TargetStandIn target) ->
                        target.runsOf(reply.reply().call().id()))
                .sum();
    }

    @Override
    public void close() {
        instances.forEach(StopSeriesInstance::close);
        platform.close();
        DaemonSockets.shutDown(platformLoop);
    }
}
