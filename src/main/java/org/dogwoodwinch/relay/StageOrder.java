package org.dogwoodwinch.relay;

import java.util.Objects;
import org.dogwoodwinch.forwarding.Stage;

/**
 * An order to an engine to change its stage.
 *
 * @param stage the stage to change to, not null
 * @param holder the instance that holds the lease for orders, not null
 * @param fencingToken the fencing token of that lease; a later lease has a higher one
 * @param expectedOrdersCount the number of orders that the engine is expected to have accepted; the engine refuses the
 *     order if its number differs
 */
public record StageOrder(Stage stage, String holder, long fencingToken, long expectedOrdersCount) {

    /** Validates the components. */
    public StageOrder {
        Objects.requireNonNull(stage, "stage");
        Objects.requireNonNull(holder, "holder");
    }
}
