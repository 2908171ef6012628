package org.dogwoodwinch.relay;

import java.util.Objects;
import org.dogwoodwinch.forwarding.Stage;

/**
 * How an engine stands to orders, as of some tenths of a second ago.
 *
 * @param stage the stage that it has, not null
 * @param busy whether an order is being carried out
 * @param ordersCount the orders that this start of it has accepted
 */
public record OrderState(Stage stage, boolean busy, long ordersCount) {

    /** Validates the components. */
    public OrderState {
        Objects.requireNonNull(stage, "stage");
    }
}
