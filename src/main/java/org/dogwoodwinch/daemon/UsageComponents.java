package org.dogwoodwinch.daemon;

import java.util.Objects;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.dogwoodwinch.forwarding.OrderLease;
import org.dogwoodwinch.net.Addresses;
import org.dogwoodwinch.platform.DutyClient;
import org.dogwoodwinch.platform.StoreClient;
import org.dogwoodwinch.relay.CallStarts;
import org.dogwoodwinch.relay.ControlClient;
import org.dogwoodwinch.settings.ForwardingSettings.DutySettings;
import org.dogwoodwinch.time.TimeSource;
import org.dogwoodwinch.usage.UsageCounter;
import org.dogwoodwinch.usage.UsagePlanner;

/** Constructs what counts, publishes and reports the usage of owners. */
final class UsageComponents {

    /** Well above the round trip of a record to the store and of a call to the platform. */
    private static final long CLAIM_VALIDITY_MILLIS = 1_000;

    /** Covers the delay between a read of the log by one instance and a call that another one has just sent. */
    private static final long SEPARATION_MARGIN_MILLIS = 500;

    /** Within this time after a window, instances have written what they counted unless something is wrong. */
    private static final long SETTLE_MILLIS = 2_500;

    private final UsageCounter counter;
    private final UsagePublisher publisher;
    private final UsageReporter reporter;

    /**
     * Creates the components.
     *
     * @param instance the name of this instance, not null
     * @param settings the duties, not null
     * @param holdersApartMillis the time that calls of two holders have to be apart
     * @param isAssigned whether reporting is assigned to this instance, not null
     * @param caller sends calls to the platform, not null
     * @param store the platform's store, not null
     * @param time the clock and timers, not null
     */
    UsageComponents(
            String instance,
            DutySettings settings,
            long holdersApartMillis,
            BooleanSupplier isAssigned,
            ControlClient caller,
            StoreClient store,
            TimeSource time) {
        Objects.requireNonNull(instance, "instance");
        long windowMillis = settings.usageWindowMillis();
        this.counter = new UsageCounter(windowMillis);
        this.publisher = new UsagePublisher(instance, counter, store.writer(UsagePublisher.TOPIC), time, windowMillis);
        this.reporter = new UsageReporter(
                new UsageReporter.Dependencies(
                        instance,
                        isAssigned,
                        store.keyed(UsagePublisher.TOPIC),
                        store.writer(UsagePublisher.TOPIC),
                        store.keyed(UsageReporter.TOPIC),
                        store.keyedLog(UsageReporter.TOPIC, UsageReporter.KEY),
                        store.keyedLog(UsageReporter.TOPIC, UsageReporter.ERA_KEY),
                        new DutyClient(caller, Addresses.parse(settings.address()), CLAIM_VALIDITY_MILLIS)),
                new UsagePlanner(windowMillis, SETTLE_MILLIS, settings.usageDueMillis()),
                new OrderLease(CLAIM_VALIDITY_MILLIS, holdersApartMillis + SEPARATION_MARGIN_MILLIS),
                time);
        store.eras().onEra(reporter::observeEra);
    }

    CallStarts callStarts() {
        return counter::recordStart;
    }

    void start() {
        publisher.start();
        reporter.start();
    }

    /** Writes what this instance has counted once more, because the store may have lost it. */
    void beginEra() {
        publisher.publishAgain();
    }

    /** Writes what has been counted since the last window, because this process ends. */
    CompletionStage<Boolean> flush() {
        return publisher.flush();
    }
}
