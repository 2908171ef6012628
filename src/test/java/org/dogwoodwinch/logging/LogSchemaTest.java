package org.dogwoodwinch.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** What the forwarding daemon logs and shows is what its pages list: an on-call engineer searches by the pages. */
class LogSchemaTest {

    private static final List<String> ROOMS = List.of("relay", "follow", "platform", "net");
    private static final List<String> FILES = List.of(
            "daemon/ForwardingDaemon.java",
            "daemon/FleetExchange.java",
            "daemon/ConfigurationReader.java",
            "daemon/TargetsReader.java",
            "daemon/LoadSharing.java",
            "daemon/StreamSharing.java",
            "daemon/StreamBeginSharing.java",
            "daemon/KeptSharing.java",
            "daemon/EnginesAway.java",
            "daemon/BrokenTargets.java",
            "daemon/StageOrders.java",
            "daemon/ClockWatch.java",
            "daemon/SettingsWatch.java",
            "daemon/StopSignals.java",
            "daemon/GracefulStop.java",
            "daemon/EventLoopWatch.java",
            "peer/MemberList.java",
            "peer/RelayExchange.java",
            "peer/RelayMessageReceiver.java");
    private static final Pattern EVENT = Pattern.compile("(?:LogEvent\\.of|about|logState)\\(\"([a-z_]+)\"");
    private static final Pattern FIELD = Pattern.compile("\\.with\\(\\s*\"([A-Za-z]+)\"");
    private static final Pattern METRIC = Pattern.compile("\"(dogwoodwinch_[a-z_]+)\"");
    private static final Path MAIN = Path.of("src/main/java/org/dogwoodwinch");

    private static String sources() throws IOException {
        StringBuilder all = new StringBuilder();
        for (String room : ROOMS) {
            try (Stream<Path> files = Files.list(MAIN.resolve(room))) {
                for (Path file : files.sorted().toList()) {
                    all.append(Files.readString(file));
                }
            }
        }
        for (String file : FILES) {
            all.append(Files.readString(MAIN.resolve(file)));
        }
        return all.toString();
    }

    private static Set<String> find(Pattern pattern, String text) {
        Set<String> found = new TreeSet<>();
        Matcher matcher = pattern.matcher(text);
        while (matcher.find()) {
            found.add(matcher.group(1));
        }
        return found;
    }

    @Test
    void everyEventAndFieldIsListed() throws IOException {
        String page = Files.readString(Path.of("docs/logs.md"));
        String sources = sources();
        Set<String> unlisted = new TreeSet<>();
        for (Pattern pattern : List.of(EVENT, FIELD)) {
            for (String name : find(pattern, sources)) {
                if (!page.contains("`" + name + "`")) {
                    unlisted.add(name);
                }
            }
        }
        assertEquals(Set.of(), unlisted);
        assertTrue(find(EVENT, sources).size() > 20);
    }

    @Test
    void everyMetricIsListed() throws IOException {
        String page = Files.readString(Path.of("docs/metrics.md"));
        Set<String> metrics = find(
                METRIC,
                Files.readString(MAIN.resolve("relay/ForwardingMetrics.java"))
                        + Files.readString(MAIN.resolve("relay/RequestEndMetrics.java")));
        metrics.removeIf(name -> page.contains("`" + name + "`"));
        assertEquals(Set.of(), metrics);
    }
}
