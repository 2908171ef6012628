package org.dogwoodwinch.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Reads settings files. */
public final class SettingsLoader {

    private SettingsLoader() {}

    /**
     * Reads and checks a settings file.
     *
     * @param path the file, not null
     * @return the settings, or every problem found in one run
     */
    public static SettingsResult load(Path path) {
        Objects.requireNonNull(path, "path");
        try {
            return parse(path.toString(), Files.readString(path));
        } catch (IOException e) {
            return new SettingsResult.Rejected(
                    List.of(new SettingsProblem(path.toString(), 1, "", "cannot be read: " + e)));
        }
    }

    /**
     * Reads and checks settings from a text.
     *
     * @param file the name that problems give, not null
     * @param text the JSON with comments, not null
     * @return the settings, or every problem found in one run
     */
    public static SettingsResult parse(String file, String text) {
        List<SettingsProblem> problems = new ArrayList<>();
        Optional<Settings> settings = new LocatedJsonReader(file, problems::add)
                .read(text)
                .map(root -> {
                    SettingsSection section = new SettingsSection(file, "", root, problems::add);
                    Settings read = Settings.read(section);
                    section.close();
                    return read;
                });
        if (problems.isEmpty() && settings.isPresent()) {
            return new SettingsResult.Loaded(settings.get());
        }
        problems.sort(Comparator.comparingInt(SettingsProblem::line));
        return new SettingsResult.Rejected(problems);
    }
}
