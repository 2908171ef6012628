package org.dogwoodwinch.settings;

/**
 * The role planner.
 *
 * @param enabled whether it plans at all
 * @param pricePerSecondAway goodput, in requests, that a second of an engine's absence is held to cost
 * @param horizonMillis how far ahead a gain is counted
 * @param dwellMillis the least time between two changes of one engine
 * @param planMillis time between plans
 */
public record RoleSettings(
        boolean enabled, double pricePerSecondAway, long horizonMillis, long dwellMillis, long planMillis) {

    static RoleSettings read(SettingsSection section) {
        return new RoleSettings(
                section.flag("enabled", true),
                section.number("pricePerSecondAway", 0, 1_000_000, 1),
                section.wholeNumber("horizonMillis", 1_000, 86_400_000, 120_000),
                section.wholeNumber("dwellMillis", 0, 86_400_000, 30_000),
                section.wholeNumber("planMillis", 100, 3_600_000, 2_000));
    }
}
