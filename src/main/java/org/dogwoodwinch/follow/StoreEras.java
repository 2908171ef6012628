package org.dogwoodwinch.follow;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.LongConsumer;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The eras that the store has stated. An era begins when the store comes back from a copy; what was written shortly
 * before may be lost then. Confined to one event loop.
 */
public final class StoreEras {

    private static final Logger log = LoggerFactory.getLogger(StoreEras.class);
    private static final long UNKNOWN_ERA = -1;

    private final List<LongConsumer> newEraListeners = new ArrayList<>();
    private final List<LongConsumer> anyEraListeners = new ArrayList<>();
    private long latestEra = UNKNOWN_ERA;

    /**
     * Registers a listener that is notified when an answer shows that the store has come back from a copy.
     *
     * @param listener receives the new era, not null
     */
    public void onNewEra(LongConsumer listener) {
        newEraListeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /**
     * Registers a listener that is notified of each era when an answer first states it, also of the first one that this
     * process sees: the store may have come back from a copy before this process started.
     *
     * @param listener receives the era, not null
     */
    public void onEra(LongConsumer listener) {
        anyEraListeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /**
     * Returns the latest era.
     *
     * @return the era; negative if the store has stated none
     */
    public long latest() {
        return latestEra;
    }

    /**
     * Records the era that an answer states.
     *
     * @param era the era, not negative; ignored if it is not a later one
     */
    public void observe(long era) {
        if (era <= latestEra) {
            return;
        }
        long previous = latestEra;
        latestEra = era;
        LogEvent.of("store_era").with("old", previous).with("new", era).info(log);
        anyEraListeners.forEach(listener -> listener.accept(era));
        if (previous != UNKNOWN_ERA) {
            newEraListeners.forEach(listener -> listener.accept(era));
        }
    }
}
