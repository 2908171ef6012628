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

    private static final String TEXT = """
            {
              "instance": {"name": "n1", "dataCentre": "dc"},
              "forwarding": {"listen": "10.0.0.1:80", "readyListen": "10.0.0.1:81", "metricsListen": "10.0.0.1:82"},
              "store": {"address": "10.0.0.2:80"},
              "peers": {"listen": "10.0.0.1:83"},
              "retries": {"slackCount": 52},
            }
            """;

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final List<Double> heard = new ArrayList<>();

    @TempDir
    private Path folder;

    private Path file;
    private SettingsWatch watch;

    @BeforeEach
    void watchTheFile() throws IOException {
        file = Files.writeString(folder.resolve("node.json"), TEXT);
        watch = new SettingsWatch(file, time, 1_000, this::changed);
        watch.start();
    }

    private void changed(ForwardingSettings fresh) {
        heard.add(fresh.retries().slackCount());
    }

    @Test
    void aChangeIsHeardOnceWithOrWithoutASignal() throws IOException {
        time.advanceMillis(5_000);
        assertEquals(List.of(), heard);

        Files.writeString(file, TEXT.replace("52", "60"));
        watch.reloadIfChanged();
        time.advanceMillis(5_000);
        assertEquals(List.of(60.0), heard);

        Files.writeString(file, TEXT.replace("52", "70"));
        time.advanceMillis(1_000);
        assertEquals(List.of(60.0, 70.0), heard);
    }

    /** The file is wrong, half written or gone for a moment: what holds goes on holding, and the next right one counts. */
    @Test
    void wrongSettingsAreLeftOutOfForce() throws IOException {
        Files.writeString(file, "{ \"instance\": ");
        time.advanceMillis(1_000);
        Files.delete(file);
        time.advanceMillis(1_000);
        assertEquals(List.of(), heard);

        Files.writeString(file, TEXT.replace("52", "80"));
        time.advanceMillis(1_000);
        assertEquals(List.of(80.0), heard);
    }
}
