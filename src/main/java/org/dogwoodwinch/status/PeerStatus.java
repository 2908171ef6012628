package org.dogwoodwinch.status;

import java.util.Objects;

/**
 * Another instance as one instance sees it.
 *
 * @param name its name, not null
 * @param dataCentre its data centre, not null
 * @param heardMillis how long ago anything of its own was heard, by whatever way; -1 where nothing was
 */
public record PeerStatus(String name, String dataCentre, long heardMillis) {

    /** Checks the parts. */
    public PeerStatus {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }
}
