package org.dogwoodwinch.authority;

import org.dogwoodwinch.target.Target;

/** Computes the key of the engine group that a lease covers: the engines of one target group in one data centre. */
public final class EngineGroups {

    private EngineGroups() {}

    /**
     * Returns the key of an engine's group.
     *
     * @param engine the engine, not null
     * @return {@code group@dataCentre}
     */
    public static String groupKey(Target engine) {
        return engine.group() + "@" + engine.dataCentre();
    }
}
