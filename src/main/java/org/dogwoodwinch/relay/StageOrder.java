package org.dogwoodwinch.relay;

import java.util.Objects;
import org.dogwoodwinch.forwarding.Stage;

/**
 * An order to an engine to change its stage.
 *
 * @param stage the stage that it is to have, not null
 * @param holder the instance that may give orders, not null
 * @param fencingToken the token of that instance's lease; a later lease has a higher one
 * @param expectedOrdersCount the orders that the engine is believed to have accepted; it refuses if there were others
 */
public record StageOrder(Stage stage, String holder, long fencingToken, long expectedOrdersCount) {

    /** Validates the components. */
    public StageOrder {
        Objects.requireNonNull(stage, "stage");
        Objects.requireNonNull(holder, "holder");
    }
}
