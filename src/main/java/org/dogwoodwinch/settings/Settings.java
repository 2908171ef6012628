package org.dogwoodwinch.settings;

/**
 * All settings of a daemon that serves the callers' API, with defaults filled in.
 *
 * @param instance who this instance is
 * @param callers the callers' listener
 * @param operators the operators' listener
 * @param peers exchange with the other instances
 * @param platform where the platform's services are
 * @param targets how targets are called
 * @param requests retries and idempotency
 * @param admission queues and floors
 * @param leases leases and orders
 * @param roles the role planner
 * @param stop the graceful shutdown
 */
public record Settings(
        InstanceSettings instance,
        CallerSettings callers,
        OperatorSettings operators,
        PeerSettings peers,
        PlatformSettings platform,
        TargetSettings targets,
        RequestSettings requests,
        AdmissionSettings admission,
        LeaseSettings leases,
        RoleSettings roles,
        StopSettings stop)
        implements DaemonSettings {

    static Settings read(SettingsSection root) {
        Settings settings = new Settings(
                root.section("instance", InstanceSettings::read),
                root.section("callers", CallerSettings::read),
                root.section("operators", OperatorSettings::read),
                root.section("peers", PeerSettings::read),
                root.section("platform", PlatformSettings::read),
                root.section("targets", TargetSettings::read),
                root.section("requests", RequestSettings::read),
                root.section("admission", AdmissionSettings::read),
                root.section("leases", LeaseSettings::read),
                root.section("roles", RoleSettings::read),
                root.section("stop", StopSettings::read));
        settings.checkPorts(root);
        settings.checkKeyMemory(root);
        return settings;
    }

    /** Two listeners on one port would only show at start, as a bind failure without a field. */
    private void checkPorts(SettingsSection root) {
        int callersPort = callers.port();
        int operatorsPort = operators.port();
        int peersPort = peers.port();
        if (callersPort != 0 && callersPort == operatorsPort) {
            root.tell("operators", "port " + operatorsPort + " clashes with callers.port");
        }
        if (peersPort != 0 && (peersPort == callersPort || peersPort == operatorsPort)) {
            root.tell("peers", "port " + peersPort + " clashes with another listener's port");
        }
    }

    /** A key remembered for longer than the log keeps its claim would be forgotten early: its resend would run twice. */
    private void checkKeyMemory(SettingsSection root) {
        if (requests.keyMemoryMillis() > platform.logRetentionMillis() / 2) {
            root.tell("requests", "keyMemoryMillis must be at most half of platform.logRetentionMillis");
        }
    }
}
