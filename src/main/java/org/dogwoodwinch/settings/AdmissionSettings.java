package org.dogwoodwinch.settings;

/**
 * Queues and floors of admission.
 *
 * @param maxQueuedCount requests of one class of work that may wait on this instance
 * @param maxInFlightCount requests that may run at once through this instance
 * @param longReadFloorRatio the share of the places that long reads get under any load
 * @param longReadWaitMillis a long read that waited for so long goes before everything else
 * @param shareMillis how long an instance's share of an owner's limit is good without news from the others
 * @param limitHomeIndex this instance's place among those that share owners' limits, from zero, different for each
 * @param limitHomesCount how many instances share owners' limits; each starts with its part of every limit
 */
public record AdmissionSettings(
        int maxQueuedCount,
        int maxInFlightCount,
        double longReadFloorRatio,
        long longReadWaitMillis,
        long shareMillis,
        int limitHomeIndex,
        int limitHomesCount) {

    /**
     * Neither the place nor the number of homes has a default: with a default of one home, each of six instances would
     * grant an owner the whole of its limit, and nothing would tell before the owner used six times as much.
     */
    static AdmissionSettings read(SettingsSection section) {
        AdmissionSettings settings = new AdmissionSettings(
                section.wholeInt("maxQueuedCount", 1, 1_000_000, 2_000),
                section.wholeInt("maxInFlightCount", 1, 1_000_000, 4_000),
                section.number("longReadFloorRatio", 0.01, 0.9, 0.1),
                section.wholeNumber("longReadWaitMillis", 1_000, 86_400_000, 600_000),
                section.wholeNumber("shareMillis", 500, 600_000, 5_000),
                section.requiredInt("limitHomeIndex", 0, 9_999),
                section.requiredInt("limitHomesCount", 1, 10_000));
        if (settings.limitHomeIndex() >= settings.limitHomesCount()) {
            section.tell("limitHomeIndex", "must be below limitHomesCount");
        }
        return settings;
    }
}
