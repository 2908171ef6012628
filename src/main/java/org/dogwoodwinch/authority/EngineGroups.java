package org.dogwoodwinch.authority;

import org.dogwoodwinch.target.Target;

/** Names the groups that leases are kept for: one model's engines in one data centre. */
public final class EngineGroups {

    private EngineGroups() {}

    /**
     * Returns an engine's group.
     *
     * @param engine the engine, not null
     * @return {@code group@dataCentre}
     */
    public static String keyOf(Target engine) {
        return engine.group() + "@" + engine.dataCentre();
    }
}
