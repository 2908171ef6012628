package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;
import java.util.function.Consumer;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.settings.ForwardingSettings;
import org.dogwoodwinch.settings.SettingsLoader;
import org.dogwoodwinch.settings.SettingsProblem;
import org.dogwoodwinch.settings.SettingsResult;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the settings file again when it changed, with or without a signal. Settings that are wrong are told and left
 * out of force: the process goes on with those that it has.
 */
final class SettingsWatch {

    private static final Logger log = LoggerFactory.getLogger(SettingsWatch.class);

    private final Path file;
    private final TimeSource time;
    private final long checkIntervalMillis;
    private final Consumer<ForwardingSettings> listener;
    private String lastContent = "";

    SettingsWatch(Path file, TimeSource time, long checkIntervalMillis, Consumer<ForwardingSettings> listener) {
        this.file = Objects.requireNonNull(file, "file");
        this.time = Objects.requireNonNull(time, "time");
        this.checkIntervalMillis = checkIntervalMillis;
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /** Watches from now on; what the file says now is in force already. */
    void start() {
        lastContent = readFile();
        time.schedule(checkIntervalMillis, this::checkPeriodically);
    }

    private void checkPeriodically() {
        reloadIfChanged();
        time.schedule(checkIntervalMillis, this::checkPeriodically);
    }

    /** Looks at the file now, as after a signal. */
    void reloadIfChanged() {
        String content = readFile();
        if (content.isEmpty() || content.equals(lastContent)) {
            return;
        }
        lastContent = content;
        SettingsResult result = SettingsLoader.parse(file.toString(), content);
        if (result instanceof SettingsResult.Rejected rejected) {
            for (SettingsProblem problem : rejected.problems()) {
                LogEvent.of("settings_rejected").with("problem", problem).warn(log);
            }
        } else if (((SettingsResult.Loaded) result).settings() instanceof ForwardingSettings changedSettings) {
            listener.accept(changedSettings);
        } else {
            LogEvent.of("settings_rejected")
                    .with("problem", "the file is of another kind of daemon")
                    .warn(log);
        }
    }

    /** The content decides, not the file's time: a file that is replaced may keep the time of another machine. */
    private String readFile() {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            LogEvent.of("settings_unreadable").with("error", e).warn(log);
            return "";
        }
    }
}
