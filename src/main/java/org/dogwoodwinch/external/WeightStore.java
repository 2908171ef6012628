package org.dogwoodwinch.external;

import java.util.concurrent.CompletionStage;

/** The platform's store of model weights; it limits how many loads run at once. */
@FunctionalInterface
public interface WeightStore {

    /**
     * Asks what the store allows now.
     *
     * @return the loads a minute that the store allows the whole fleet; zero or less where the store did not answer
     */
    CompletionStage<Integer> allowedLoadsPerMinute();
}
