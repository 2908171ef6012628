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
 * Reloads the settings file when its content has changed, at a fixed interval or on request. Invalid settings are
 * logged and ignored; the current settings stay in force.
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

    /** Starts checking the file periodically. Its current content is taken as already in force. */
    void start() {
        lastContent = readFile();
        time.schedule(checkIntervalMillis, this::checkPeriodically);
    }

    private void checkPeriodically() {
        reloadIfChanged();
        time.schedule(checkIntervalMillis, this::checkPeriodically);
    }

    /** Checks the file immediately, for example after SIGHUP, and passes changed valid settings to the listener. */
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
                    .with("problem", "the file does not contain the settings of a forwarding daemon")
                    .warn(log);
        }
    }

    /**
     * Reads the file. Changes are detected by content rather than by modification time, because a file that was copied
     * from another machine may keep the modification time from there.
     */
    private String readFile() {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            LogEvent.of("settings_unreadable").with("error", e).warn(log);
            return "";
        }
    }
}
