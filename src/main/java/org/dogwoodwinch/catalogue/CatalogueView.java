package org.dogwoodwinch.catalogue;

import java.util.Optional;
import java.util.function.Consumer;

/** The catalogue that is in force on this instance. */
public interface CatalogueView {

    /**
     * Returns the catalogue in force.
     *
     * @return the catalogue, or empty while this instance has none; an instance without one is not ready and refuses
     */
    Optional<Catalogue> current();

    /**
     * Calls back each time a newer revision comes into force here.
     *
     * @param listener takes the new catalogue, not null
     */
    void onChange(Consumer<Catalogue> listener);
}
