package org.dogwoodwinch.settings;

import java.util.List;
import java.util.Optional;

/**
 * The settings of a daemon that forwards calls by the operator's routes, with defaults filled in.
 *
 * @param instance who this instance is
 * @param forwarding where it listens and how it treats targets
 * @param store the platform's store
 * @param peers the exchange with the other instances
 * @param promises the bounds that operators and callers were promised
 * @param retries the retry budget
 * @param stop the graceful shutdown
 * @param duties the calls to the platform that one instance sends for all; empty if the platform assigns none
 */
public record ForwardingSettings(
        InstanceSettings instance,
        ListenSettings forwarding,
        StoreSettings store,
        ExchangeSettings peers,
        PromiseSettings promises,
        RetrySettings retries,
        GraceSettings stop,
        Optional<DutySettings> duties)
        implements DaemonSettings {

    private static final String ADDRESS = "[0-9.]+:[0-9]{1,5}";
    private static final int MILLIS_PER_SECOND = 1_000;

    /**
     * Where the daemon listens and how it connects.
     *
     * @param listen where callers connect, as IP number and port
     * @param readyListen where the balancer asks whether the instance is ready
     * @param metricsListen where metrics are shown
     * @param mostInstancesCount the most instances that may share the connections of a target and the retry budget
     * @param connectTimeoutMillis how long a connection to a target may take to open
     * @param unacknowledgedMillis how long written bytes may stay without a peer's acknowledgement
     * @param idleMarginMillis how long before the end of its idle time a target's connection is no longer used
     */
    public record ListenSettings(
            String listen,
            String readyListen,
            String metricsListen,
            int mostInstancesCount,
            int connectTimeoutMillis,
            int unacknowledgedMillis,
            long idleMarginMillis) {}

    /**
     * The platform's store.
     *
     * @param address its IP number and port
     * @param timeoutMillis how long an answer may take beside the time that the store is asked to wait
     * @param waitMillis how long the store may hold a reading call while there is nothing new
     * @param pauseMillis the pause between two reading calls
     */
    public record StoreSettings(String address, long timeoutMillis, long waitMillis, long pauseMillis) {}

    /**
     * The exchange with the other instances.
     *
     * @param listen where they connect, as IP number and port
     * @param roundMillis the time between two rounds
     * @param neighboursCount the instances that a round goes to
     * @param linkShare the part of the instance's link that messages may take, on average; where the link is not known they are
     *     not bounded
     * @param renewMillis the time between two announcements of this instance in the store
     */
    public record ExchangeSettings(
            String listen, long roundMillis, int neighboursCount, double linkShare, long renewMillis) {}

    /**
     * What operators and callers were promised.
     *
     * @param drainMillis within which a leaving target gets nothing new
     * @param configurationMillis within which a configuration is in force at every instance
     * @param holdersApartMillis how far apart orders of two instances to one engine have to be
     */
    public record PromiseSettings(long drainMillis, long configurationMillis, long holdersApartMillis) {}

    /**
     * The retry budget of a service, over all instances.
     *
     * @param ratio repeats for each request
     * @param slackCount repeats in a window beside these
     * @param windowMillis the window
     * @param retryAfterMillis when a refused caller is told to come back
     */
    public record RetrySettings(double ratio, double slackCount, long windowMillis, long retryAfterMillis) {}

    /**
     * The graceful shutdown.
     *
     * @param graceMillis the time between the signal to stop and the process's end by force
     * @param notReadyMillis how long the balancer is given to notice that the instance is not ready
     */
    public record GraceSettings(long graceMillis, long notReadyMillis) {}

    /**
     * The calls to the platform that one instance at a time sends for all.
     *
     * @param address where the platform takes them, as IP number and port
     * @param assigned the platform's names of the duties, separated by commas; unknown ones are left undone
     * @param usageWindowMillis the length of a window of usage
     * @param usageDueMillis the time after a window at which its report is due
     */
    public record DutySettings(String address, String assigned, long usageWindowMillis, long usageDueMillis) {

        /**
         * Returns whether a duty is assigned.
         *
         * @param name the platform's name of the duty, not null
         * @return whether it is among the assigned ones
         */
        public boolean isAssigned(String name) {
            return List.of(assigned.split(",", -1)).contains(name);
        }
    }

    static ForwardingSettings read(SettingsSection root) {
        ForwardingSettings settings = readSections(root);
        checkPromise(
                root,
                "drainMillis",
                StoreReadBudget.ofTargets(settings.promises(), settings.store()),
                settings.store());
        checkPromise(
                root,
                "configurationMillis",
                StoreReadBudget.ofConfiguration(settings.promises(), settings.store()),
                settings.store());
        return settings;
    }

    private static void checkPromise(SettingsSection root, String name, StoreReadBudget budget, StoreSettings store) {
        if (!budget.isKept()) {
            root.tell(
                    "promises",
                    name + " " + budget.promisedMillis() + " cannot be kept with store.waitMillis "
                            + store.waitMillis() + " and store.pauseMillis " + store.pauseMillis() + ": at least "
                            + budget.leastPromisedMillis());
        }
    }

    private static ForwardingSettings readSections(SettingsSection root) {
        return new ForwardingSettings(
                root.section("instance", InstanceSettings::read),
                root.section("forwarding", ForwardingSettings::readListen),
                root.section("store", ForwardingSettings::readStore),
                root.section("peers", ForwardingSettings::readPeers),
                root.section("promises", ForwardingSettings::readPromises),
                root.section("retries", ForwardingSettings::readRetries),
                root.section("stop", ForwardingSettings::readStop),
                root.optionalSection("duties", ForwardingSettings::readDuties));
    }

    private static ListenSettings readListen(SettingsSection section) {
        return new ListenSettings(
                address(section, "listen"),
                address(section, "readyListen"),
                address(section, "metricsListen"),
                section.wholeInt("mostInstancesCount", 1, 10_000, 16),
                section.wholeInt("connectTimeoutMillis", 10, 60_000, 1_000),
                section.wholeInt("unacknowledgedMillis", 100, 600_000, 3_000),
                section.wholeNumber("idleMarginMillis", 0, 60_000, 1_000));
    }

    private static StoreSettings readStore(SettingsSection section) {
        return new StoreSettings(
                address(section, "address"),
                section.wholeNumber("timeoutMillis", 10, 60_000, 700),
                section.wholeNumber("waitMillis", 0, 30_000, 600),
                section.wholeNumber("pauseMillis", 0, 10_000, 100));
    }

    private static ExchangeSettings readPeers(SettingsSection section) {
        return new ExchangeSettings(
                address(section, "listen"),
                section.wholeNumber("roundMillis", 10, 60_000, 150),
                section.wholeInt("neighboursCount", 1, 1_000, 8),
                section.number("linkShare", 0.01, 1, 0.2),
                section.wholeNumber("renewMillis", 100, 3_600_000, 15_000));
    }

    private static PromiseSettings readPromises(SettingsSection section) {
        return new PromiseSettings(
                section.wholeNumber("drainMillis", 100, 600_000, 2_000),
                section.wholeNumber("configurationMillis", 100, 600_000, 2_000),
                section.wholeNumber("holdersApartMillis", 0, 600_000, 3_000));
    }

    private static RetrySettings readRetries(SettingsSection section) {
        return new RetrySettings(
                section.number("ratio", 0, 10, 0.2),
                section.number("slackCount", 0, 1_000_000, 50),
                seconds(section, "windowSeconds", 10),
                section.wholeNumber("retryAfterMillis", 0, 60_000, 200));
    }

    private static GraceSettings readStop(SettingsSection section) {
        return new GraceSettings(
                seconds(section, "graceSeconds", 8), section.wholeNumber("notReadyMillis", 0, 60_000, 2_500));
    }

    private static DutySettings readDuties(SettingsSection section) {
        return new DutySettings(
                address(section, "address"),
                section.text("assigned", ""),
                seconds(section, "usageWindowSeconds", 5),
                seconds(section, "usageDueSeconds", 10));
    }

    private static long seconds(SettingsSection section, String name, double otherwise) {
        return Math.round(section.number(name, 0.1, 3_600, otherwise) * MILLIS_PER_SECOND);
    }

    private static String address(SettingsSection section, String name) {
        String text = section.requiredText(name);
        if (!text.isEmpty() && !text.matches(ADDRESS)) {
            section.tell(name, "must be an IP number, a colon and a port, not " + text);
        }
        return text;
    }
}
