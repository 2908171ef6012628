package org.dogwoodwinch.settings;

/**
 * Who this instance is.
 *
 * @param name its name in the platform's instance list
 * @param dataCentre the data centre it stands in
 */
public record InstanceSettings(String name, String dataCentre) {

    static InstanceSettings read(SettingsSection section) {
        return new InstanceSettings(section.requiredText("name"), section.requiredText("dataCentre"));
    }
}
