package org.dogwoodwinch.authority;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;
import org.dogwoodwinch.target.EngineConfiguration;
import org.dogwoodwinch.target.EngineRole;

/**
 * A change of one engine, as an operator or the role planner asks for it.
 *
 * @param kind what to do, not null
 * @param engine the engine, not null
 * @param group its group, as {@link EngineGroups#keyOf} names it; filled in by the instance that takes the request
 * @param role the new role, for {@link Kind#CHANGE_ROLE}; else null
 * @param model the model, for {@link Kind#LOAD_MODEL}; else empty
 * @param modelVersion the version of its weights, for {@link Kind#LOAD_MODEL}; else empty
 * @param adapter the adapter as {@code name@version}, for the two adapter changes; else empty
 * @param replacement the engine that takes over, for {@link Kind#REPLACE}; else empty
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

    /** What can be planned. */
    public enum Kind {
        /** Load a model or another version of one. */
        LOAD_MODEL,
        /** Load an adapter beside the model. */
        LOAD_ADAPTER,
        /** Unload an adapter. */
        UNLOAD_ADAPTER,
        /** Change the role. */
        CHANGE_ROLE,
        /** Take the engine out of service until it is restored. */
        DRAIN,
        /** Put a drained or withdrawn engine back into service. */
        RESTORE,
        /** Give the engine's configuration to another one, then withdraw the engine. */
        REPLACE,
        /** Take the engine out of service for good. */
        WITHDRAW
    }

    /** Checks the parts; a text that is missing is empty. */
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
     * Makes a role change.
     *
     * @param engine the engine, not null
     * @param role the new role, not null
     * @return the change
     */
    public static PlannedChange changeRole(String engine, EngineRole role) {
        return new PlannedChange(Kind.CHANGE_ROLE, engine, "", role, "", "", "", "");
    }

    /**
     * Makes a change that needs no more than its engine.
     *
     * @param kind the kind, not null
     * @param engine the engine, not null
     * @return the change
     */
    public static PlannedChange of(Kind kind, String engine) {
        return new PlannedChange(kind, engine, "", null, "", "", "", "");
    }

    /**
     * Names the engine's group.
     *
     * @param newGroup the group, not null
     * @return the copy
     */
    public PlannedChange withGroup(String newGroup) {
        return new PlannedChange(kind, engine, newGroup, role, model, modelVersion, adapter, replacement);
    }

    /**
     * Returns the engine that the order goes to and that is drained before it.
     *
     * @return the replacement of a {@link Kind#REPLACE}, else the engine
     */
    public String orderedEngine() {
        return kind == Kind.REPLACE ? replacement : engine;
    }

    /**
     * Says whether an engine gets an order.
     *
     * @return false where the change only drains, withdraws or restores
     */
    public boolean needsOrder() {
        return kind != Kind.DRAIN && kind != Kind.WITHDRAW && kind != Kind.RESTORE;
    }

    /**
     * Works out the full configuration to order.
     *
     * @param base the configuration before: of the engine, or of the one that is replaced, not null
     * @return the configuration after
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
