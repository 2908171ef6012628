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

    /** The section by which a file of the forwarding daemon is told. */
    private static final String FORWARDING = "forwarding";

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
        Optional<DaemonSettings> settings = new LocatedJsonReader(file, problems::add)
                .read(text)
                .map(root -> {
                    SettingsSection section = new SettingsSection(file, "", root, problems::add);
                    DaemonSettings read =
                            section.has(FORWARDING) ? ForwardingSettings.read(section) : Settings.read(section);
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
