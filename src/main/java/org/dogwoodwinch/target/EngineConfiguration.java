package org.dogwoodwinch.target;

import java.util.Collections;
import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The full configuration of one engine: what an order asks for and what an engine reports, never a delta.
 *
 * @param role the phases it serves, not null
 * @param model the model's name, not null
 * @param modelVersion the version of the model's weights, not null
 * @param adapters the adapters loaded beside the model, each as {@code name@version}, not null
 */
public record EngineConfiguration(EngineRole role, String model, String modelVersion, SortedSet<String> adapters) {

    /** Checks and copies the parts. */
    public EngineConfiguration {
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(modelVersion, "modelVersion");
        adapters = Collections.unmodifiableSortedSet(new TreeSet<>(adapters));
    }

    /**
     * Returns this configuration with another role.
     *
     * @param newRole the role, not null
     * @return the copy
     */
    public EngineConfiguration withRole(EngineRole newRole) {
        return new EngineConfiguration(newRole, model, modelVersion, adapters);
    }
}
