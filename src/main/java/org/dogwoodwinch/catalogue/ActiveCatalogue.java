package org.dogwoodwinch.catalogue;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Holds the catalogue in force on this instance and replaces it only by a higher revision. Thread-safe.
 *
 * <p>Catalogues come from the log, from a checkpoint and from peers, whose catalogue may be old. Accepting an older one
 * would undo an accepted edit on this instance. Comparing revisions is sufficient, because a revision is the offset of
 * the edit that created it, and offsets only increase.
 */
public final class ActiveCatalogue implements CatalogueView {

    private final List<Consumer<Catalogue>> listeners = new CopyOnWriteArrayList<>();
    private volatile Catalogue catalogue = Catalogue.EMPTY;

    @Override
    public Optional<Catalogue> current() {
        Catalogue current = catalogue;
        return current.revision() == Catalogue.NO_REVISION ? Optional.empty() : Optional.of(current);
    }

    @Override
    public void addListener(Consumer<Catalogue> listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /**
     * Replaces the catalogue in force if the given one has a higher revision, and then calls the listeners.
     *
     * @param candidate the catalogue, not null
     * @return whether the given catalogue is now in force
     */
    public synchronized boolean replaceIfNewer(Catalogue candidate) {
        if (candidate.revision() <= catalogue.revision()) {
            return false;
        }
        catalogue = candidate;
        listeners.forEach(listener -> listener.accept(candidate));
        return true;
    }
}
