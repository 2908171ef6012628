package org.dogwoodwinch.external;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** The platform's list of live and leaving instances; it lags. */
@FunctionalInterface
public interface InstanceList {

    /**
     * Reads the list.
     *
     * @return the list, or empty where the platform did not answer; an empty answer never means an empty fleet
     */
    CompletionStage<Optional<List<ListedInstance>>> read();
}
