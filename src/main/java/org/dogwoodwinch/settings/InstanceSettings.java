package org.dogwoodwinch.settings;

/**
 * Who this instance is.
 *
 * @param name its name in the platform's instance list
 * @param dataCentre the data centre it stands in
 * @param linkMbps what its link carries, in megabits a second; zero where that is not known
 */
public record InstanceSettings(String name, String dataCentre, double linkMbps) {

    private static final double MOST_LINK_MBPS = 1_000_000;

    static InstanceSettings read(SettingsSection section) {
        return new InstanceSettings(
                section.requiredText("name"),
                section.requiredText("dataCentre"),
                section.number("linkMbps", 0, MOST_LINK_MBPS, 0));
    }
}
