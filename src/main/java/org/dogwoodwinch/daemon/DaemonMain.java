package org.dogwoodwinch.daemon;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.settings.DaemonSettings;
import org.dogwoodwinch.settings.ForwardingSettings;
import org.dogwoodwinch.settings.Settings;
import org.dogwoodwinch.settings.SettingsLoader;
import org.dogwoodwinch.settings.SettingsResult;
import org.dogwoodwinch.time.SystemTimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The main class of the daemon program {@code dogwoodwinchd}. */
@Command(
        name = "dogwoodwinchd",
        mixinStandardHelpOptions = true,
        version = "dogwoodwinchd 0.1.0",
        description = "Routes language-model requests to a fixed fleet. SIGTERM drains requests before the exit.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:stopped after all requests had finished",
            "1:invalid settings",
            "2:invalid command line",
            "3:a listener could not be bound, or the secret or a TLS file could not be read",
            "4:stopped with unfinished requests: the drain time limit was reached or a later SIGINT was received",
            "5:the event loop ended, for example after the heap was full"
        })
public final class DaemonMain implements Callable<Integer> {

    private static final Logger log = LoggerFactory.getLogger(DaemonMain.class);
    private static final int EXIT_INVALID_SETTINGS = 1;
    private static final int EXIT_START_FAILED = 3;
    static final int EXIT_REQUESTS_UNFINISHED = 4;
    private static final int EXIT_EVENT_LOOPS_ENDED = 5;
    private static final int TIMER_THREADS = 2;
    private static final String SETTINGS_OPTION = "--settings";

    @Spec
    private CommandSpec spec;

    @Option(names = SETTINGS_OPTION, required = true, paramLabel = "FILE", description = "Path of the settings file.")
    private Path settingsFile;

    /**
     * Runs the daemon until it is stopped, and exits the process.
     *
     * @param args the command line, not null
     */
    public static void main(String[] args) {
        System.exit(execute(args));
    }

    /**
     * Runs the daemon until it is stopped. The form {@code --settings FILE}, which the platform uses, is parsed here
     * without picocli, because picocli takes a sixth of the start-up time.
     *
     * @param args the command line, not null
     * @return the exit code. Any failure is returned as an exit code: if this method threw an exception, other threads
     *     would keep the process and its sockets alive without a working daemon.
     */
    public static int execute(String[] args) {
        if (args.length != 2 || !args[0].equals(SETTINGS_OPTION)) {
            return new CommandLine(new DaemonMain()).execute(args);
        }
        PrintWriter errors = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
        try {
            return loadAndRun(Path.of(args[1]), errors);
        } catch (RuntimeException | Error e) {
            e.printStackTrace(errors);
            return CommandLine.ExitCode.SOFTWARE;
        }
    }

    @Override
    public Integer call() {
        return loadAndRun(settingsFile, spec.commandLine().getErr());
    }

    private static int loadAndRun(Path file, PrintWriter errors) {
        SettingsResult result = SettingsLoader.load(file);
        if (result instanceof SettingsResult.Rejected rejected) {
            rejected.problems().forEach(errors::println);
            return EXIT_INVALID_SETTINGS;
        }
        DaemonSettings settings = ((SettingsResult.Loaded) result).settings();
        return settings instanceof ForwardingSettings forwarding
                ? runForwardingDaemon(forwarding, file)
                : runDaemon((Settings) settings);
    }

    /**
     * Creates the executor for timers. It removes cancelled timers immediately. Load: a cancelled deadline timer that
     * stayed in the queue would keep its request on the heap until the deadline.
     */
    // The executors that the factory methods create cannot be configured to remove cancelled timers.
    @SuppressWarnings("DangerousThreadPoolExecutorUsage")
    private static ScheduledExecutorService newTimerExecutor() {
        ScheduledThreadPoolExecutor timerExecutor = new ScheduledThreadPoolExecutor(TIMER_THREADS);
        timerExecutor.setRemoveOnCancelPolicy(true);
        return timerExecutor;
    }

    private static int runForwardingDaemon(ForwardingSettings settings, Path file) {
        Transport transport = Transport.start(1);
        new EventLoopWatch(
                        transport.eventLoopGroup().terminationFuture(),
                        () -> Runtime.getRuntime().halt(EXIT_EVENT_LOOPS_ENDED))
                .start();
        ForwardingDaemon daemon = new ForwardingDaemon(settings, transport, RandomSource.XO_RO_SHI_RO_128_PP.create());
        // Before it listens: a signal without a handler ends the process with the calls that it has read.
        AwaitedStop stop = AwaitedStop.install(daemon::stop);
        daemon.watchSettings(file);
        try {
            daemon.start();
        } catch (IOException e) {
            LogEvent.of("start_failed").with("error", e.getMessage()).warn(log);
            return EXIT_START_FAILED;
        }
        return stop.awaitUnfinishedCount() == 0 ? 0 : EXIT_REQUESTS_UNFINISHED;
    }

    private static int runDaemon(Settings settings) {
        ScheduledExecutorService timerExecutor = newTimerExecutor();
        EventLoopGroup eventLoopGroup = new NioEventLoopGroup();
        DaemonContext context = new DaemonContext(
                new SystemTimeSource(timerExecutor), eventLoopGroup, RandomSource.XO_RO_SHI_RO_128_PP::create);
        Daemon daemon;
        AwaitedStop stop;
        try {
            daemon = new Daemon(settings, context);
            stop = AwaitedStop.install(daemon::stop);
            daemon.start();
        } catch (IOException e) {
            LogEvent.of("start_failed").with("error", e.getMessage()).warn(log);
            return EXIT_START_FAILED;
        }
        int unfinishedCount = stop.awaitUnfinishedCount();
        daemon.close();
        return unfinishedCount == 0 ? 0 : EXIT_REQUESTS_UNFINISHED;
    }
}
