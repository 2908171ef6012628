package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.standin.platform.PlatformStandIn;
import org.dogwoodwinch.standin.platform.RandomStutter;
import org.dogwoodwinch.standin.platform.SecondAnswer;
import org.dogwoodwinch.standin.platform.Stutter;
import org.dogwoodwinch.standin.platform.TargetFault;
import org.dogwoodwinch.standin.platform.TargetTraits;

/** Instances before sound targets and targets that stutter, and callers on kept connections, over real sockets. */
final class StutterRun implements AutoCloseable {

    private static final String SETTINGS = "\"retries\":{\"ratio\":4}";
    private static final TargetTraits PLAIN = new TargetTraits("", 64, 1, 5, 1, 0, 0);
    private static final double SECOND_ANSWERS_SHARE = 0.4;
    private static final double FAILED_SHARE = 0.1;
    private static final double TIMED_OUT_SHARE = 0.1;
    private static final double REJECTED_SHARE = 0.05;
    private static final int MAX_ECHO_LENGTH = 1_500;
    private static final int MIN_CALLERS = 24;
    private static final int CALLS = 1_200;
    private static final List<StutterCall.Kind> KINDS = List.of(StutterCall.Kind.values());

    private final Transport platformLoop = Transport.start(1);
    private final List<Transport> daemonLoops = List.of(Transport.start(1), Transport.start(1));
    private final List<ForwardingDaemon> daemons = new ArrayList<>();
    private final AtomicInteger secondAnswersCount = new AtomicInteger();
    private final Set<String> stutteringIds;
    private final PlatformStandIn platform;
    private final UniformRandomProvider random;

    /** Starts the targets and the instances. */
    StutterRun(int instancesCount, long seed) throws Exception {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        UniformRandomProvider targetRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(1_000 + seed);
        this.platform = new PlatformStandIn(
                platformLoop,
                new EventLoopTime(platformLoop.eventLoopGroup().next()),
                _request -> drawFault(targetRandom));
        Stutter drawn = new RandomStutter(targetRandom, SECOND_ANSWERS_SHARE);
        Stutter counted = (request, answer) -> {
            Optional<SecondAnswer> second = drawn.after(request, answer);
            second.ifPresent(_any -> secondAnswersCount.incrementAndGet());
            return second;
        };
        List<String> ids = new ArrayList<>();
        for (TargetTraits traits :
                List.of(PLAIN, PLAIN, PLAIN, TargetTraits.PREFILL, TargetTraits.DECODE, TargetTraits.DECODE)) {
            ids.add("i-s" + ids.size());
            platform.addStuttering(ids.get(ids.size() - 1), traits, _request -> drawFault(targetRandom), counted);
        }
        this.stutteringIds = Set.copyOf(ids);
        for (int i = 0; i < instancesCount; i++) {
            startDaemon(i, seed);
        }
        for (ForwardingDaemon daemon : daemons) {
            assertTrue(DaemonSockets.awaitReady(daemon));
        }
    }

    private void startDaemon(int number, long seed) throws Exception {
        ForwardingDaemon daemon = new ForwardingDaemon(
                DaemonSockets.createSettings("n" + number, platform, SETTINGS),
                daemonLoops.get(number % daemonLoops.size()),
                RandomSource.XO_RO_SHI_RO_128_PP.create(seed + number));
        daemon.start();
        daemons.add(daemon);
    }

    private static TargetFault drawFault(UniformRandomProvider random) {
        double drawn = random.nextDouble();
        if (drawn < FAILED_SHARE) {
            return TargetFault.FAILED;
        }
        if (drawn < FAILED_SHARE + TIMED_OUT_SHARE) {
            return TargetFault.TIMED_OUT;
        }
        return drawn < FAILED_SHARE + TIMED_OUT_SHARE + REJECTED_SHARE ? TargetFault.REJECTED : TargetFault.NONE;
    }

    /** Sends all calls and returns what the callers received. */
    List<StutterReply> play() throws Exception {
        int callersCount = Math.max(MIN_CALLERS, daemons.size());
        ExecutorService threads = Executors.newFixedThreadPool(callersCount);
        try {
            List<Future<List<StutterReply>>> running = new ArrayList<>();
            for (int caller = 0; caller < callersCount; caller++) {
                int port = daemons.get(caller % daemons.size()).port();
                running.add(threads.submit(new StutterCaller(port, drawCalls(caller, CALLS / callersCount))));
            }
            List<StutterReply> replies = new ArrayList<>();
            for (Future<List<StutterReply>> caller : running) {
                replies.addAll(caller.get());
            }
            return replies;
        } finally {
            threads.shutdownNow();
        }
    }

    private List<StutterCall> drawCalls(int caller, int count) {
        List<StutterCall> calls = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            StutterCall.Kind kind = KINDS.get(random.nextInt(KINDS.size()));
            String id = String.format("%04x%04x", caller, i);
            calls.add(new StutterCall(id, kind, "e" + id + "x".repeat(random.nextInt(MAX_ECHO_LENGTH))));
        }
        return calls;
    }

    /** Returns what is wrong with the replies. */
    List<String> failuresOf(List<StutterReply> replies) {
        return replies.stream()
                .flatMap(reply -> StutterCheck.failuresOf(reply, platform.targets(), stutteringIds).stream())
                .collect(Collectors.toList());
    }

    int secondAnswersCount() {
        return secondAnswersCount.get();
    }

    @Override
    public void close() {
        daemonLoops.forEach(DaemonSockets::shutDown);
        platform.close();
        DaemonSockets.shutDown(platformLoop);
    }
}
