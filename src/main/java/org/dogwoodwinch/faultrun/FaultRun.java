package org.dogwoodwinch.faultrun;

import com.google.errorprone.annotations.MustBeClosed;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.simple.RandomSource;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.dogwoodwinch.fault.FaultPlayer;
import org.dogwoodwinch.fault.FaultSchedule;
import org.dogwoodwinch.fault.FaultSubjects;
import org.dogwoodwinch.history.FleetEvent;
import org.dogwoodwinch.history.HistoryRecorder;
import org.dogwoodwinch.standin.HistoryEngineObserver;
import org.dogwoodwinch.standin.StandInEngineOptions;
import org.dogwoodwinch.standin.http.StandInFleet;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.time.SystemTimeSource;
import org.dogwoodwinch.time.TimeSource;

/** One system of real daemons with everything around it; plays schedules on it one after another. */
final class FaultRun implements AutoCloseable {

    private static final List<String> DATA_CENTRES = List.of("kakkanad", "edappally", "vyttila");
    private static final int TIMER_THREADS = 6;
    private static final int BOOKING_ENGINES = 3;
    private static final int READING_ENGINES = 4;
    private static final Duration LONGEST_CALL = Duration.ofSeconds(40);
    private static final long READY_MILLIS = 60_000;
    private static final long SETTLE_MILLIS = 1_500;
    private static final long STEP_MILLIS = 50;

    private final EventLoopGroup group = new NioEventLoopGroup();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(TIMER_THREADS);
    private final TimeSource time = new SystemTimeSource(timers);
    private final HistoryRecorder history;
    private final StandInFleet fleet;
    private final AsyncHttpClient client;
    private final LogWitness log;
    private final RunParts parts;
    private final Caller caller;

    /**
     * Starts everything but the daemons.
     *
     * @param directory takes settings and output, not null
     * @param history takes the events, not null; its owner closes it after {@link #close()}
     * @param daemonCount how many daemons
     * @param requestEveryMillis time between requests, in milliseconds
     * @param seed of what is chosen by chance
     * @throws IOException if a port or a file cannot be had
     */
    @MustBeClosed
    FaultRun(Path directory, HistoryRecorder history, int daemonCount, long requestEveryMillis, long seed)
            throws IOException {
        this.history = Objects.requireNonNull(history, "history");
        Files.writeString(directory.resolve("secret"), "the-secret-of-this-fault-run-0123456789abcdef");
        fleet = new StandInFleet(group, time, 0, new HistoryEngineObserver(time, history));
        List<String> engineNames = addTargets();
        client = new DefaultAsyncHttpClient(new DefaultAsyncHttpClientConfig.Builder()
                .setEventLoopGroup(group)
                .setMaxRequestRetry(0)
                .setKeepAlive(false)
                .setRequestTimeout(LONGEST_CALL)
                .setReadTimeout(LONGEST_CALL)
                .build());
        log = new LogWitness(fleet.log(), time, history);
        RunOperator operator = new RunOperator(fleet.log(), log, time);
        List<RunDaemon> daemons = daemons(directory, daemonCount);
        InstanceWitness witness = new InstanceWitness(client, daemons, time, history);
        caller = new Caller(client, RunOperator.TOKEN, time, history);
        RunLoad load =
                new RunLoad(caller, witness, RandomSource.XO_RO_SHI_RO_128_PP.create(seed), time, requestEveryMillis);
        RunLeaving leaving = new RunLeaving(fleet, engineNames, time, history);
        parts = new RunParts(daemons, fleet, engineNames, operator, load, witness, leaving, history, time);
    }

    /**
     * Returns whom faults may befall.
     *
     * @return daemons and engines
     */
    FaultSubjects subjects() {
        return new FaultSubjects(parts.daemons().stream().map(RunDaemon::name).toList(), parts.engineNames());
    }

    /**
     * Starts the daemons, publishes the catalogue and begins to send requests.
     *
     * @return whether all daemons became ready
     * @throws IOException if a daemon cannot be started
     */
    boolean start() throws IOException {
        log.start();
        parts.operator().publishCatalogue();
        for (RunDaemon daemon : parts.daemons()) {
            daemon.process().start();
        }
        parts.witness().start();
        boolean ready = await(READY_MILLIS, () -> parts.witness().allReadyWith(0));
        parts.load().start();
        parts.leaving().start();
        return ready;
    }

    /**
     * Plays one schedule, with an edit beside it, and waits until all daemons are ready again.
     *
     * @param schedule the schedule, not null
     * @return whether they became ready
     */
    boolean play(FaultSchedule schedule) {
        new FaultPlayer(
                        time,
                        new RunInjector(parts),
                        fault -> history.record(new FleetEvent.FaultBegan(time.wallMillis(), fault)),
                        fault -> history.record(new FleetEvent.FaultEnded(time.wallMillis(), fault)))
                .play(schedule);
        time.schedule(schedule.endMillis() / 2, parts.operator()::edit);
        pause(schedule.endMillis() + SETTLE_MILLIS);
        return await(READY_MILLIS, () -> parts.witness().allReadyWith(log.revision()));
    }

    /**
     * Sends nothing new and waits until every request has ended.
     *
     * @return whether all ended
     */
    boolean finish() {
        parts.load().stop();
        parts.leaving().stop();
        return await(LONGEST_CALL.toMillis() + SETTLE_MILLIS, () -> parts.load().open() == 0);
    }

    /**
     * Returns how calls ended.
     *
     * @return counts by entry and end
     */
    SortedMap<String, Long> outcomes() {
        return parts.load().outcomes();
    }

    /**
     * Returns how many calls were made.
     *
     * @return the count
     */
    long callCount() {
        return caller.callCount();
    }

    @Override
    public void close() throws IOException {
        parts.witness().stop();
        parts.daemons().forEach(RunDaemon::close);
        log.stop();
        client.close();
        fleet.close();
        timers.shutdownNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private List<String> addTargets() throws IOException {
        List<String> names = new ArrayList<>();
        addEngines(RunOperator.BOOKING, BOOKING_ENGINES, true, names);
        addEngines(RunOperator.READING, READING_ENGINES, false, names);
        fleet.addService(RunOperator.SERVICE + "-1", RunOperator.SERVICE, DATA_CENTRES.get(0));
        return names;
    }

    private void addEngines(String engineGroup, int count, boolean checksFencing, List<String> names)
            throws IOException {
        for (int i = 1; i <= count; i++) {
            String name = engineGroup + "-" + i;
            fleet.addEngine(
                    name,
                    engineGroup,
                    RunOperator.model(engineGroup),
                    EngineRole.MIXED,
                    DATA_CENTRES.get(i % DATA_CENTRES.size()),
                    StandInEngineOptions.STANDARD.withChecksFencing(checksFencing));
            names.add(name);
        }
    }

    private List<RunDaemon> daemons(Path directory, int count) throws IOException {
        List<RunDaemon> daemons = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            RunDaemon daemon = new RunDaemon(
                    "entry-" + i,
                    DATA_CENTRES.get(i % DATA_CENTRES.size()),
                    i - 1,
                    count,
                    fleet.addresses(),
                    directory,
                    group);
            fleet.instanceList().put(daemon.listed());
            daemons.add(daemon);
        }
        return daemons;
    }

    private boolean await(long mostMillis, BooleanSupplier done) {
        long untilMillis = time.monotonicMillis() + mostMillis;
        while (!done.getAsBoolean()) {
            if (time.monotonicMillis() > untilMillis) {
                return false;
            }
            pause(STEP_MILLIS);
        }
        return true;
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
