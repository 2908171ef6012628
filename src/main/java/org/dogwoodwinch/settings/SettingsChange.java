package org.dogwoodwinch.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * What of changed settings takes effect without a start of the process.
 *
 * @param inForce the settings that hold from now on: the old ones with what could be taken, not null
 * @param taken the sections that took effect
 * @param needRestart the sections whose change waits for the next start
 */
public record SettingsChange(ForwardingSettings inForce, List<String> taken, List<String> needRestart) {

    /** Checks and copies. */
    public SettingsChange {
        Objects.requireNonNull(inForce, "inForce");
        taken = List.copyOf(taken);
        needRestart = List.copyOf(needRestart);
    }

    /**
     * Compares two settings. Listeners, addresses and the instance's name are bound at the start and need another one.
     *
     * @param old the settings in force, not null
     * @param fresh the settings as the file has them now, not null
     * @return the change
     */
    public static SettingsChange between(ForwardingSettings old, ForwardingSettings fresh) {
        List<String> taken = new ArrayList<>();
        List<String> needRestart = new ArrayList<>();
        note(taken, "retries", old.retries(), fresh.retries());
        note(taken, "stop", old.stop(), fresh.stop());
        note(needRestart, "instance", old.instance(), fresh.instance());
        note(needRestart, "forwarding", old.forwarding(), fresh.forwarding());
        note(needRestart, "store", old.store(), fresh.store());
        note(needRestart, "peers", old.peers(), fresh.peers());
        note(needRestart, "promises", old.promises(), fresh.promises());
        note(needRestart, "duties", old.duties(), fresh.duties());
        ForwardingSettings inForce = new ForwardingSettings(
                old.instance(),
                old.forwarding(),
                old.store(),
                old.peers(),
                old.promises(),
                fresh.retries(),
                fresh.stop(),
                old.duties());
        return new SettingsChange(inForce, taken, needRestart);
    }

    private static void note(List<String> changed, String section, Object old, Object fresh) {
        if (!old.equals(fresh)) {
            changed.add(section);
        }
    }
}
