package org.dogwoodwinch.settings;

/**
 * How targets are called.
 *
 * @param connectTimeoutMillis how long a connection may take
 * @param firstTokenTimeoutMillis how long a target may take before its first token or answer
 * @param betweenTokensTimeoutMillis how long a stream may be silent
 * @param loadPollMillis time between readings of an engine's load
 * @param leavingMillis within this time of the first sign a leaving target gets nothing new
 */
public record TargetSettings(
        long connectTimeoutMillis,
        long firstTokenTimeoutMillis,
        long betweenTokensTimeoutMillis,
        long loadPollMillis,
        long leavingMillis) {

    static TargetSettings read(SettingsSection section) {
        return new TargetSettings(
                section.wholeNumber("connectTimeoutMillis", 10, 60_000, 1_000),
                section.wholeNumber("firstTokenTimeoutMillis", 100, 3_600_000, 120_000),
                section.wholeNumber("betweenTokensTimeoutMillis", 100, 600_000, 15_000),
                section.wholeNumber("loadPollMillis", 50, 60_000, 500),
                section.wholeNumber("leavingMillis", 100, 60_000, 3_000));
    }
}
