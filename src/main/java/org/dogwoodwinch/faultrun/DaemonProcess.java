package org.dogwoodwinch.faultrun;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * One daemon as a process of its own, with the signals that a fault run sends to it. A tool of tests: no process of the
 * system starts another.
 */
public final class DaemonProcess {

    private static final long KILL_WAIT_SECONDS = 10;

    private final String name;
    private final Path settingsFile;
    private final Path outputFile;
    private Process process;

    /**
     * Describes a daemon that does not run yet.
     *
     * @param name its instance name, not null
     * @param settingsFile its settings, not null
     * @param outputFile takes what it prints, not null
     */
    public DaemonProcess(String name, Path settingsFile, Path outputFile) {
        this.name = Objects.requireNonNull(name, "name");
        this.settingsFile = Objects.requireNonNull(settingsFile, "settingsFile");
        this.outputFile = Objects.requireNonNull(outputFile, "outputFile");
    }

    /**
     * Returns the instance's name.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Starts it with the virtual machine and the classes of this process.
     *
     * @throws IOException if it cannot be started
     * @throws IllegalStateException if it runs
     */
    public synchronized void start() throws IOException {
        if (isAlive()) {
            throw new IllegalStateException(name + " runs already");
        }
        List<String> command = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-Xmx128m",
                "-cp",
                System.getProperty("java.class.path"),
                "org.dogwoodwinch.daemon.DaemonMain",
                "--settings",
                settingsFile.toString());
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(outputFile.toFile()))
                .start();
    }

    /**
     * Says whether it runs, paused or not.
     *
     * @return false before the start and after the end
     */
    public synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Kills it at once (SIGKILL) and waits until it is gone. */
    public synchronized void kill() {
        if (process != null) {
            process.destroyForcibly();
            awaitEnd(KILL_WAIT_SECONDS);
        }
    }

    /**
     * Makes it stand still (SIGSTOP).
     *
     * @throws IOException if the signal cannot be sent
     */
    public synchronized void pause() throws IOException {
        signal("-STOP");
    }

    /**
     * Lets it go on (SIGCONT).
     *
     * @throws IOException if the signal cannot be sent
     */
    public synchronized void resume() throws IOException {
        signal("-CONT");
    }

    /** Asks it to stop gracefully (SIGTERM) and returns at once. */
    public synchronized void stop() {
        if (process != null) {
            process.destroy();
        }
    }

    /**
     * Waits for its end.
     *
     * @param seconds the longest wait
     * @return whether it has ended
     */
    public boolean awaitEnd(long seconds) {
        Process current;
        synchronized (this) {
            current = process;
        }
        try {
            return current == null || current.waitFor(seconds, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Returns how it ended.
     *
     * @return the exit code
     * @throws IllegalThreadStateException if it runs
     */
    public synchronized int exitCode() {
        return process.exitValue();
    }

    /** The Java platform sends no signals but two, so the usual program sends this one to the one process by its id. */
    private void signal(String option) throws IOException {
        if (!isAlive()) {
            return;
        }
        try {
            new ProcessBuilder("kill", option, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
