package org.dogwoodwinch.standin.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Where a daemon process listens on loopback, as the line of its start in its log says.
 *
 * @param name the instance's name
 * @param dataCentre its data centre
 * @param callersPort the callers' port
 * @param operatorsPort the operators' port
 * @param peersPort the port for exchange between instances; zero where it does not listen
 */
public record DaemonAddress(String name, String dataCentre, int callersPort, int operatorsPort, int peersPort) {

    private static final Pattern STARTED = Pattern.compile(
            "event=started instance=(\\S+) dataCentre=(\\S+) callersPort=(\\d+) operatorsPort=(\\d+) peersPort=(\\d+)");

    /**
     * Reads the address out of a log file.
     *
     * @param logFile the log file, not null
     * @return the address, or empty where the daemon has not started yet
     * @throws IOException if the file cannot be read
     */
    public static Optional<DaemonAddress> find(Path logFile) throws IOException {
        if (!Files.exists(logFile)) {
            return Optional.empty();
        }
        Matcher matcher = STARTED.matcher(Files.readString(logFile));
        if (!matcher.find()) {
            return Optional.empty();
        }
        return Optional.of(new DaemonAddress(
                matcher.group(1),
                matcher.group(2),
                Integer.parseInt(matcher.group(3)),
                Integer.parseInt(matcher.group(4)),
                Integer.parseInt(matcher.group(5))));
    }

    /**
     * Returns where callers connect.
     *
     * @return the URL without a slash at its end
     */
    public String callersUrl() {
        return "http://127.0.0.1:" + callersPort;
    }

    /**
     * Returns where operators connect.
     *
     * @return the URL without a slash at its end
     */
    public String operatorsUrl() {
        return "http://127.0.0.1:" + operatorsPort;
    }
}
