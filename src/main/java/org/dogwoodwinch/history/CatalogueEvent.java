package org.dogwoodwinch.history;

import java.util.Objects;

/** What happened to the catalogue. */
public sealed interface CatalogueEvent extends HistoryEvent {

    /**
     * Returns the revision it is about.
     *
     * @return the log offset of the accepted edit
     */
    long revision();

    /**
     * An edit was accepted.
     *
     * @param atMillis when its record was on the log, in milliseconds
     * @param editId the edit, not null
     * @param baseRevision the revision that it was made from; -1 for none
     * @param revision the revision that it made
     */
    record Edited(long atMillis, String editId, long baseRevision, long revision) implements CatalogueEvent {

        /** Checks the parts. */
        public Edited {
            Objects.requireNonNull(editId, "editId");
        }
    }

    /**
     * A revision came into force on an instance: requests that it takes from now on are held to it.
     *
     * @param atMillis when, in milliseconds
     * @param instance the instance, not null
     * @param revision the revision
     * @param content a digest of the whole catalogue, not null
     */
    record InForce(long atMillis, String instance, long revision, String content) implements CatalogueEvent {

        /** Checks the parts. */
        public InForce {
            Objects.requireNonNull(instance, "instance");
            Objects.requireNonNull(content, "content");
        }
    }
}
