package org.dogwoodwinch.daemon;

import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.dogwoodwinch.forwarding.OrderLease;
import org.dogwoodwinch.net.Addresses;
import org.dogwoodwinch.platform.DutyClient;
import org.dogwoodwinch.platform.StoreClient;
import org.dogwoodwinch.relay.ControlClient;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.dogwoodwinch.scaling.ScaleStrategy;
import org.dogwoodwinch.settings.ForwardingSettings;
import org.dogwoodwinch.time.TimeSource;

/** Constructs the components that order engines, where the platform assigns this duty. */
final class ScaleComponents {

    /** Well above the round trip of a record to the store and of some calls to the platform. */
    private static final long CLAIM_VALIDITY_MILLIS = 1_000;

    /** Covers the delay between a read of the log by one instance and a call that another one has just sent. */
    private static final long SEPARATION_MARGIN_MILLIS = 500;

    /** Shorter than the validity of a claim, so that an order without an answer is sent again within two seconds. */
    private static final long ORDER_TIMEOUT_MILLIS = 700;

    private final ScaleOrders orders;

    /**
     * Creates the components.
     *
     * @param settings the settings, with duties, not null
     * @param isAssigned whether ordering engines is assigned to this instance, not null
     * @param observed what is known of the services and their engines, not null
     * @param strategyFactory creates the strategy of a service, not null
     * @param caller sends calls to the platform, not null
     * @param store the platform's store, not null
     * @param metrics the metrics, not null
     * @param time the clock and timers, not null
     */
    ScaleComponents(
            ForwardingSettings settings,
            BooleanSupplier isAssigned,
            ScaleOrders.Observed observed,
            Supplier<ScaleStrategy> strategyFactory,
            ControlClient caller,
            StoreClient store,
            ForwardingMetrics metrics,
            TimeSource time) {
        Objects.requireNonNull(observed, "observed");
        String address = settings.duties().orElseThrow().address();
        long holdersApartMillis = settings.promises().holdersApartMillis();
        this.orders = new ScaleOrders(
                new ScaleOrders.Dependencies(
                        settings.instance().name(),
                        isAssigned,
                        observed,
                        strategyFactory,
                        store.keyed(ScaleOrders.TOPIC),
                        service -> store.keyedLog(ScaleOrders.TOPIC, service),
                        new DutyClient(caller, Addresses.parse(address), ORDER_TIMEOUT_MILLIS),
                        metrics),
                new OrderLease(CLAIM_VALIDITY_MILLIS, holdersApartMillis + SEPARATION_MARGIN_MILLIS),
                holdersApartMillis,
                time);
    }

    /** Starts to plan and to order. */
    void start() {
        orders.start();
    }

    /** Reads the plans anew, because the store may have lost some. */
    void beginEra() {
        orders.beginEra();
    }
}
