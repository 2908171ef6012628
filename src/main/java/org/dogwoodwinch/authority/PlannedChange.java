package org.dogwoodwinch.authority;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;
import org.dogwoodwinch.target.EngineConfiguration;
import org.dogwoodwinch.target.EngineRole;

/**
 * A change of one engine, requested by an operator or by the role planner.
 *
 * @param kind the kind of change, not null
 * @param engine the engine, not null
 * @param group the key of the engine's group, as {@link EngineGroups#groupKey} returns it; set by the instance that
 *     accepts the request
 * @param role the new role, for {@link Kind#CHANGE_ROLE}; else null
 * @param model the model, for {@link Kind#LOAD_MODEL}; else empty
 * @param modelVersion the version of its weights, for {@link Kind#LOAD_MODEL}; else empty
 * @param adapter the adapter as {@code name@version}, for the two adapter changes; else empty
 * @param replacement the engine that replaces it, for {@link Kind#REPLACE}; else empty
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record PlannedChange(
        Kind kind,
        String engine,
        String group,
        EngineRole role,
        String model,
        String modelVersion,
        String adapter,
        String replacement) {

    /** The kinds of planned change. */
    public enum Kind {
        /** Load a model, or another version of a model. */
        LOAD_MODEL,
        /** Load an adapter in addition to the model. */
        LOAD_ADAPTER,
        /** Unload an adapter. */
        UNLOAD_ADAPTER,
        /** Change the engine's role. */
        CHANGE_ROLE,
        /** Drain the engine and keep it out of service until it is restored. */
        DRAIN,
        /** Return a drained or withdrawn engine to service. */
        RESTORE,
        /** Order the engine's configuration on another engine, then withdraw the engine. */
        REPLACE,
        /** Drain the engine and withdraw it permanently. */
        WITHDRAW
    }

    /** Validates the components; a missing text becomes empty. */
    public PlannedChange {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(engine, "engine");
        group = Objects.requireNonNullElse(group, "");
        model = Objects.requireNonNullElse(model, "");
        modelVersion = Objects.requireNonNullElse(modelVersion, "");
        adapter = Objects.requireNonNullElse(adapter, "");
        replacement = Objects.requireNonNullElse(replacement, "");
    }

    /**
     * Creates a role change.
     *
     * @param engine the engine, not null
     * @param role the new role, not null
     * @return the change
     */
    public static PlannedChange changeRole(String engine, EngineRole role) {
        return new PlannedChange(Kind.CHANGE_ROLE, engine, "", role, "", "", "", "");
    }

    /**
     * Creates a change that has no parameters other than its engine.
     *
     * @param kind the kind, not null
     * @param engine the engine, not null
     * @return the change
     */
    public static PlannedChange of(Kind kind, String engine) {
        return new PlannedChange(kind, engine, "", null, "", "", "", "");
    }

    /**
     * Returns a copy of this change with another group.
     *
     * @param newGroup the key of the engine's group, not null
     * @return the copy
     */
    public PlannedChange withGroup(String newGroup) {
        return new PlannedChange(kind, engine, newGroup, role, model, modelVersion, adapter, replacement);
    }

    /**
     * Returns the engine that is drained and then gets the order.
     *
     * @return the replacement for {@link Kind#REPLACE}, else the engine
     */
    public String orderedEngine() {
        return kind == Kind.REPLACE ? replacement : engine;
    }

    /**
     * Returns whether the change sends an order to an engine.
     *
     * @return false if the change only drains, withdraws or restores
     */
    public boolean needsOrder() {
        return kind != Kind.DRAIN && kind != Kind.WITHDRAW && kind != Kind.RESTORE;
    }

    /**
     * Computes the full configuration to order.
     *
     * @param base the configuration of the engine, or of the replaced engine for {@link Kind#REPLACE}, not null
     * @return the configuration to order
     */
    public EngineConfiguration applyTo(EngineConfiguration base) {
        SortedSet<String> adapters = new TreeSet<>(base.adapters());
        return switch (kind) {
            case LOAD_MODEL -> new EngineConfiguration(base.role(), model, modelVersion, new TreeSet<>());
            case LOAD_ADAPTER -> {
                adapters.add(adapter);
                yield new EngineConfiguration(base.role(), base.model(), base.modelVersion(), adapters);
            }
            case UNLOAD_ADAPTER -> {
                adapters.remove(adapter);
                yield new EngineConfiguration(base.role(), base.model(), base.modelVersion(), adapters);
            }
            case CHANGE_ROLE -> base.withRole(role);
            case DRAIN, RESTORE, REPLACE, WITHDRAW -> base;
        };
    }
}
