package org.dogwoodwinch.scaling;

import java.util.Comparator;
import java.util.Objects;

/**
 * The engines of a service that are ordered together: those of one kind in one data centre.
 *
 * @param dataCentre the data centre, not null
 * @param kind the kind of the engines, not null
 */
public record EnginePool(String dataCentre, EngineKind kind) implements Comparable<EnginePool> {

    private static final Comparator<EnginePool> ORDER =
            Comparator.comparing(EnginePool::dataCentre).thenComparing(EnginePool::kind);

    /** Validates the components. */
    public EnginePool {
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(kind, "kind");
    }

    @Override
    public int compareTo(EnginePool other) {
        return ORDER.compare(this, other);
    }
}
