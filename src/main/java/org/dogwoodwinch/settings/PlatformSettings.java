package org.dogwoodwinch.settings;

/**
 * Where the platform's services are.
 *
 * @param logUrl the append-only log
 * @param instanceListUrl the instance list
 * @param weightStoreUrl the weight store
 * @param timeoutMillis how long a call may take
 * @param instanceListPollMillis time between readings of the instance list
 * @param logRetentionMillis how long the log keeps a record
 */
public record PlatformSettings(
        String logUrl,
        String instanceListUrl,
        String weightStoreUrl,
        long timeoutMillis,
        long instanceListPollMillis,
        long logRetentionMillis) {

    static PlatformSettings read(SettingsSection section) {
        return new PlatformSettings(
                url(section, "logUrl"),
                url(section, "instanceListUrl"),
                url(section, "weightStoreUrl"),
                section.wholeNumber("timeoutMillis", 50, 60_000, 2_000),
                section.wholeNumber("instanceListPollMillis", 50, 60_000, 1_000),
                section.wholeNumber("logRetentionMillis", 60_000, 2_592_000_000L, 3_600_000));
    }

    private static String url(SettingsSection section, String name) {
        String text = section.requiredText(name);
        if (!text.isEmpty() && !text.startsWith("http://") && !text.startsWith("https://")) {
            section.tell(name, "must begin with http:// or https://");
        }
        return text;
    }
}
