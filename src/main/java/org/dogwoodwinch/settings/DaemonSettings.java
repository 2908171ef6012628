package org.dogwoodwinch.settings;

/** The settings of a daemon: which kind it is follows from the file's sections. */
public sealed interface DaemonSettings permits Settings, ForwardingSettings {

    /**
     * Returns who the instance is.
     *
     * @return its name and place
     */
    InstanceSettings instance();
}
