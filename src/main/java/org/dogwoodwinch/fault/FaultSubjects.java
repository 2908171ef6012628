package org.dogwoodwinch.fault;

import java.util.List;

/**
 * Whom faults may befall.
 *
 * @param instances names of instances of ours, one or more
 * @param engines names of engines, one or more
 */
public record FaultSubjects(List<String> instances, List<String> engines) {

    /**
     * Checks and copies the lists.
     *
     * @throws IllegalArgumentException if one is empty
     */
    public FaultSubjects {
        instances = List.copyOf(instances);
        engines = List.copyOf(engines);
        if (instances.isEmpty() || engines.isEmpty()) {
            throw new IllegalArgumentException("there must be an instance and an engine");
        }
    }

    /**
     * Returns the names that a fault of a kind may befall.
     *
     * @param kind the kind, not null
     * @return one or more names
     */
    public List<String> of(FaultKind kind) {
        return switch (kind.scope()) {
            case INSTANCE -> instances;
            case ENGINE -> engines;
            case PLATFORM -> List.of(Fault.PLATFORM);
        };
    }
}
