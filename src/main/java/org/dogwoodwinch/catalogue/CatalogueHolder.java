package org.dogwoodwinch.catalogue;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * The catalogue in force on this instance; it only ever goes to a higher revision. Thread-safe.
 *
 * <p>The log, a checkpoint and peers may all offer a catalogue, and a peer's word may be old. Taking an older one would
 * undo an accepted edit on this instance; comparing revisions suffices because a revision is the offset of the edit that
 * made it, and offsets only grow.
 */
public final class CatalogueHolder implements CatalogueView {

    private final List<Consumer<Catalogue>> listeners = new CopyOnWriteArrayList<>();
    private volatile Catalogue catalogue = Catalogue.EMPTY;

    @Override
    public Optional<Catalogue> current() {
        Catalogue current = catalogue;
        return current.revision() == Catalogue.NO_REVISION ? Optional.empty() : Optional.of(current);
    }

    @Override
    public void onChange(Consumer<Catalogue> listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /**
     * Puts a catalogue in force if it is newer than the one that is.
     *
     * @param offered the catalogue, not null
     * @return whether it came into force
     */
    public synchronized boolean offer(Catalogue offered) {
        if (offered.revision() <= catalogue.revision()) {
            return false;
        }
        catalogue = offered;
        listeners.forEach(listener -> listener.accept(offered));
        return true;
    }
}
