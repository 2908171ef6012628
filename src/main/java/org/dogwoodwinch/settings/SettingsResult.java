package org.dogwoodwinch.settings;

import java.util.List;
import java.util.function.Function;

/** The outcome of reading a settings file. */
public sealed interface SettingsResult {

    /**
     * The file is right.
     *
     * @param settings the settings, with defaults filled in
     */
    record Loaded(DaemonSettings settings) implements SettingsResult {}

    /**
     * The file is wrong.
     *
     * @param problems everything that is wrong in it, by line
     */
    record Rejected(List<SettingsProblem> problems) implements SettingsResult {

        /** Copies the list. */
        public Rejected {
            problems = List.copyOf(problems);
        }
    }

    /**
     * Calls the function of this result's kind.
     *
     * @param loaded for {@link Loaded}
     * @param rejected for {@link Rejected}
     * @param <T> what the functions return
     * @return what the function returned
     */
    default <T> T match(Function<DaemonSettings, T> loaded, Function<List<SettingsProblem>, T> rejected) {
        if (this instanceof Loaded value) {
            return loaded.apply(value.settings());
        }
        return rejected.apply(((Rejected) this).problems());
    }
}
