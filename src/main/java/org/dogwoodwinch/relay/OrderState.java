package org.dogwoodwinch.relay;

import java.util.Objects;
import org.dogwoodwinch.forwarding.Stage;

/**
 * An engine's stage and the state of its orders, up to some tenths of a second old.
 *
 * @param stage the current stage, not null
 * @param busy whether the engine is carrying out an order
 * @param ordersCount the number of orders that this incarnation of the engine has accepted
 */
public record OrderState(Stage stage, boolean busy, long ordersCount) {

    /** Validates the components. */
    public OrderState {
        Objects.requireNonNull(stage, "stage");
    }
}
