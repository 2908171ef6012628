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
    private final long checkMillis;
    private final Consumer<ForwardingSettings> onChange;
    private String lastText = "";

    SettingsWatch(Path file, TimeSource time, long checkMillis, Consumer<ForwardingSettings> onChange) {
        this.file = Objects.requireNonNull(file, "file");
        this.time = Objects.requireNonNull(time, "time");
        this.checkMillis = checkMillis;
        this.onChange = Objects.requireNonNull(onChange, "onChange");
    }

    /** Watches from now on; what the file says now is in force already. */
    void start() {
        lastText = read();
        time.schedule(checkMillis, this::checkAndRepeat);
    }

    private void checkAndRepeat() {
        check();
        time.schedule(checkMillis, this::checkAndRepeat);
    }

    /** Looks at the file now, as after a signal. */
    void check() {
        String text = read();
        if (text.isEmpty() || text.equals(lastText)) {
            return;
        }
        lastText = text;
        SettingsResult result = SettingsLoader.parse(file.toString(), text);
        if (result instanceof SettingsResult.Rejected rejected) {
            for (SettingsProblem problem : rejected.problems()) {
                LogEvent.of("settings_rejected").with("problem", problem).warn(log);
            }
        } else if (((SettingsResult.Loaded) result).settings() instanceof ForwardingSettings fresh) {
            onChange.accept(fresh);
        } else {
            LogEvent.of("settings_rejected")
                    .with("problem", "the file is of another kind of daemon")
                    .warn(log);
        }
    }

    /** The content decides, not the file's time: a file that is replaced may keep the time of another machine. */
    private String read() {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            LogEvent.of("settings_unreadable").with("error", e).warn(log);
            return "";
        }
    }
}
