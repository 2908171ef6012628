package org.dogwoodwinch.settings;

/**
 * The graceful shutdown.
 *
 * @param notReadyMillis how long the balancer is given to notice that the instance is not ready
 * @param drainMillis how long requests in flight may take to finish
 */
public record StopSettings(long notReadyMillis, long drainMillis) {

    static StopSettings read(SettingsSection section) {
        return new StopSettings(
                section.wholeNumber("notReadyMillis", 0, 60_000, 1_000),
                section.wholeNumber("drainMillis", 0, 3_600_000, 60_000));
    }
}
