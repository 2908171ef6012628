package org.dogwoodwinch.catalogue;

import java.util.Optional;
import java.util.function.Consumer;

/** Provides the catalogue in force on this instance. */
public interface CatalogueView {

    /**
     * Returns the catalogue in force.
     *
     * @return the catalogue, or empty while this instance has none; it is then not ready and refuses requests
     */
    Optional<Catalogue> current();

    /**
     * Registers a listener that is called each time a newer revision comes into force on this instance.
     *
     * @param listener the listener, which gets the new catalogue, not null
     */
    void addListener(Consumer<Catalogue> listener);
}
