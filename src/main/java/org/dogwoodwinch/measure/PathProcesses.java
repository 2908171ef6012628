package org.dogwoodwinch.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.dogwoodwinch.standin.http.DaemonAddress;
import org.dogwoodwinch.standin.http.DemoCatalogue;
import org.dogwoodwinch.standin.http.FleetSetup;
import org.dogwoodwinch.standin.http.StandInAddresses;
import org.dogwoodwinch.target.http.TargetJson;

/** The processes of the path measurement: one of stand-ins and one daemon with a heap of 128 MB. */
final class PathProcesses {

    private static final long START_MILLIS = 60_000;
    private static final long POLL_MILLIS = 50;
    private static final long STOP_SECONDS = 20;

    private final Path folder;
    private final List<Process> processes = new ArrayList<>();
    private final Process daemonProcess;
    private final StandInAddresses standIns;
    private final DaemonAddress daemon;

    /**
     * Starts the processes and waits until the daemon is ready.
     *
     * @param standInArguments the stand-ins' command line
     * @throws IOException if one does not start
     * @throws InterruptedException if the thread is interrupted
     */
    PathProcesses(String... standInArguments) throws IOException, InterruptedException {
        folder = Files.createTempDirectory("path-measurement");
        start("standins", List.of("-Xmx1g"), "org.dogwoodwinch.standin.http.StandInMain", standInArguments);
        standIns = await(this::readStandIns);
        Path settings = writeSettings();
        daemonProcess = start(
                "daemon",
                List.of("-Xmx128m", "-XX:+UseSerialGC", "-Xlog:gc:file=" + folder.resolve("gc.log") + ":uptime"),
                "org.dogwoodwinch.daemon.DaemonMain",
                "--settings",
                settings.toString());
        daemon = await(() -> DaemonAddress.find(folder.resolve("daemon.err")));
        FleetSetup setup = new FleetSetup(HttpClient.newHttpClient(), standIns);
        setup.list(List.of(daemon));
        setup.publish(daemon, DemoCatalogue.document());
        setup.awaitReady(daemon);
    }

    /** Returns where the platform's stand-ins listen. */
    StandInAddresses standIns() {
        return standIns;
    }

    /** Returns where the daemon listens. */
    DaemonAddress daemon() {
        return daemon;
    }

    /** Returns the processor time that the daemon has used. */
    Duration daemonCpu() {
        return daemonProcess.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Says whether the daemon still runs. */
    boolean daemonAlive() {
        return daemonProcess.isAlive();
    }

    /**
     * Has the daemon collect its whole heap and reads what is left.
     *
     * @return megabytes
     * @throws IOException if the collection cannot be asked for
     * @throws InterruptedException if the thread is interrupted
     */
    int liveHeapMegabytes() throws IOException, InterruptedException {
        String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        Process process = new ProcessBuilder(jcmd, Long.toString(daemonProcess.pid()), "GC.run")
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        if (process.waitFor() != 0) {
            throw new IOException("the daemon did not collect its heap");
        }
        List<Integer> after = heapAfterCollectionMegabytes();
        return after.get(after.size() - 1);
    }

    /**
     * Reads the heap after each collection.
     *
     * @return megabytes, in order of time
     * @throws IOException if the log cannot be read
     */
    List<Integer> heapAfterCollectionMegabytes() throws IOException {
        return GcLog.heapAfterMegabytes(Files.readAllLines(folder.resolve("gc.log")));
    }

    /** Stops the processes and removes their files. */
    void stop() {
        for (int i = processes.size() - 1; i >= 0; i--) {
            Process process = processes.get(i);
            process.destroy();
            try {
                if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
                    process.destroyForcibly();
                }
            } catch (InterruptedException e) {
                process.destroyForcibly();
                Thread.currentThread().interrupt();
            }
        }
        removeFiles();
    }

    private Process start(String name, List<String> options, String mainClass, String... arguments) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass);
        command.addAll(Arrays.asList(arguments));
        ProcessBuilder builder = new ProcessBuilder(command);
        Process process = builder.redirectOutput(folder.resolve(name + ".out").toFile())
                .redirectError(folder.resolve(name + ".err").toFile())
                .start();
        processes.add(process);
        return process;
    }

    private Optional<StandInAddresses> readStandIns() throws IOException {
        return TargetJson.read(Files.readAllBytes(folder.resolve("standins.out")), StandInAddresses.class);
    }

    private Path writeSettings() throws IOException {
        Path secret = Files.writeString(folder.resolve("secret"), "0123456789abcdef0123456789abcdef");
        return Files.writeString(folder.resolve("settings.json"), """
                {
                  "instance": {"name": "measured-1", "dataCentre": "kakkanad"},
                  "callers": {"port": 0},
                  "operators": {"port": 0},
                  "admission": {"limitHomeIndex": 0, "limitHomesCount": 1},
                  "peers": {"port": 0, "secretFile": "%s"},
                  "platform": {"logUrl": "%s", "instanceListUrl": "%s", "weightStoreUrl": "%s"}
                }
                """.formatted(
                        secret, standIns.logUrl(), standIns.instanceListUrl(), standIns.weightStoreUrl()));
    }

    private <T> T await(Attempt<T> attempt) throws IOException, InterruptedException {
        for (long waited = 0; waited < START_MILLIS; waited += POLL_MILLIS) {
            Optional<T> found = attempt.look();
            if (found.isPresent()) {
                return found.get();
            }
            Thread.sleep(POLL_MILLIS);
        }
        stop();
        throw new IOException("a process did not start");
    }

    private void removeFiles() {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private interface Attempt<T> {

        Optional<T> look() throws IOException;
    }
}
