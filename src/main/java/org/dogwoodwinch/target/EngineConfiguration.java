package org.dogwoodwinch.target;

import java.util.Collections;
import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The full configuration of one engine, both in orders and in engine reports; never a delta.
 *
 * @param role the phases that the engine serves, not null
 * @param model the model's name, not null
 * @param modelVersion the version of the model's weights, not null
 * @param adapters the adapters loaded in addition to the model, each as {@code name@version}, not null
 */
public record EngineConfiguration(EngineRole role, String model, String modelVersion, SortedSet<String> adapters) {

    /** Validates the components and copies the adapters. */
    public EngineConfiguration {
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(modelVersion, "modelVersion");
        adapters = Collections.unmodifiableSortedSet(new TreeSet<>(adapters));
    }

    /**
     * Returns a copy of this configuration with another role.
     *
     * @param newRole the role of the copy, not null
     * @return the copy
     */
    public EngineConfiguration withRole(EngineRole newRole) {
        return new EngineConfiguration(newRole, model, modelVersion, adapters);
    }
}
