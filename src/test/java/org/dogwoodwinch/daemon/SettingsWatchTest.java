package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.settings.ForwardingSettings;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsWatchTest {

    private static final String SETTINGS_JSON = """
            {
              "instance": {"name": "n1", "dataCentre": "dc"},
              "forwarding": {"listen": "10.0.0.1:80", "readyListen": "10.0.0.1:81", "metricsListen": "10.0.0.1:82"},
              "store": {"address": "10.0.0.2:80"},
              "peers": {"listen": "10.0.0.1:83"},
              "retries": {"slackCount": 52},
            }
            """;

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final List<Double> receivedSlackCounts = new ArrayList<>();

    @TempDir
    private Path directory;

    private Path file;
    private SettingsWatch watch;

    @BeforeEach
    void startWatch() throws IOException {
        file = Files.writeString(directory.resolve("node.json"), SETTINGS_JSON);
        watch = new SettingsWatch(file, time, 1_000, this::onSettingsChanged);
        watch.start();
    }

    private void onSettingsChanged(ForwardingSettings settings) {
        receivedSlackCounts.add(settings.retries().slackCount());
    }

    @Test
    void changeIsReportedOnceWithOrWithoutSignal() throws IOException {
        time.advanceMillis(5_000);
        assertEquals(List.of(), receivedSlackCounts);

        Files.writeString(file, SETTINGS_JSON.replace("52", "60"));
        watch.reloadIfChanged();
        time.advanceMillis(5_000);
        assertEquals(List.of(60.0), receivedSlackCounts);

        Files.writeString(file, SETTINGS_JSON.replace("52", "70"));
        time.advanceMillis(1_000);
        assertEquals(List.of(60.0, 70.0), receivedSlackCounts);
    }

    /**
     * While the file is invalid, incomplete or missing, the current settings stay in force until the next valid
     * version.
     */
    @Test
    void invalidSettingsAreIgnored() throws IOException {
        Files.writeString(file, "{ \"instance\": ");
        time.advanceMillis(1_000);
        Files.delete(file);
        time.advanceMillis(1_000);
        assertEquals(List.of(), receivedSlackCounts);

        Files.writeString(file, SETTINGS_JSON.replace("52", "80"));
        time.advanceMillis(1_000);
        assertEquals(List.of(80.0), receivedSlackCounts);
    }
}
