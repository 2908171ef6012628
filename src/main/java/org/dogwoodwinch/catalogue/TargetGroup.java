package org.dogwoodwinch.catalogue;

import java.util.Objects;

/**
 * A group of targets that serve the same model or service, with its name in the platform's instance list.
 *
 * @param name the group's unique name, not null
 * @param kind the kind of the targets, not null
 * @param model the model that the engines run; empty for a plain service, not null
 * @param checksFencing whether the engines refuse an order with an older fencing token than one already accepted
 */
public record TargetGroup(String name, Kind kind, String model, boolean checksFencing) {

    /** The kinds of targets. */
    public enum Kind {
        /** Language-model engines. */
        ENGINE,
        /** Plain services. */
        SERVICE
    }

    /** Validates the components. */
    public TargetGroup {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(model, "model");
    }
}
