package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.ObjLongConsumer;
import java.util.function.Predicate;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.LogPosition;
import org.dogwoodwinch.follow.StreamListener;
import org.dogwoodwinch.forwarding.RouteMoves;
import org.dogwoodwinch.forwarding.RouteTable;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.platform.ConfigurationDecoder;
import org.dogwoodwinch.platform.StoreClient;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Applies each newer configuration of the store; during an outage the last one stays in force. */
final class ConfigurationReader implements StreamListener {

    private static final Logger log = LoggerFactory.getLogger(ConfigurationReader.class);

    private final Predicate<RouteTable> configure;
    private final ForwardingMetrics metrics;
    private final ObjLongConsumer<Set<String>> onRoutesMoved;
    private Optional<RouteTable> tableInForce = Optional.empty();

    /**
     * Creates a reader without a configuration.
     *
     * @param configure applies a configuration unless a newer one is in force, and returns whether it is applied, not
     *     null
     * @param metrics the metrics, not null
     * @param onRoutesMoved receives the services to which a new configuration leads streams that may have begun at
     *     others, at least one, and its version, before any call is routed by it, not null
     */
    ConfigurationReader(
            Predicate<RouteTable> configure, ForwardingMetrics metrics, ObjLongConsumer<Set<String>> onRoutesMoved) {
        this.configure = Objects.requireNonNull(configure, "configure");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.onRoutesMoved = Objects.requireNonNull(onRoutesMoved, "onRoutesMoved");
    }

    @Override
    public void onRecord(KeyedRecord record) {
        if (!record.key().equals(StoreClient.CONFIGURATION_KEY)
                || record.value().isEmpty()) {
            return;
        }
        try {
            RouteTable table = ConfigurationDecoder.decode(record.value().get());
            boolean inForce = configure.test(table);
            if (inForce) {
                metrics.setConfigurationVersion(table.version());
                reportMoves(table);
                tableInForce = Optional.of(table);
            }
            LogEvent.of("configuration_read")
                    .with("version", table.version())
                    .with("offset", LogPosition.describe(record.offset()))
                    .with("routes", table.routesCount())
                    .with("keys", table.keysCount())
                    .with("inForce", inForce)
                    .info(log);
        } catch (IOException e) {
            LogEvent.of("configuration_not_understood")
                    .with("offset", LogPosition.describe(record.offset()))
                    .with("error", e.getMessage())
                    .warn(log);
        }
    }

    private void reportMoves(RouteTable table) {
        Set<String> services = tableInForce
                .map(previous -> RouteMoves.servicesOfMovedStreams(previous, table))
                .orElseGet(Set::of);
        if (!services.isEmpty()) {
            onRoutesMoved.accept(services, table.version());
        }
    }

    /** A configuration is never removed: the last one stays in force until a newer one is read. */
    @Override
    public void onSnapshotComplete(Set<String> _keys, long endOffset) {
        LogEvent.of("configurations_read_whole")
                .with("endOffset", LogPosition.describe(endOffset))
                .info(log);
    }

    @Override
    public void onReconnected() {
        metrics.setStoreReachable(true);
        LogEvent.of("store_regained").with("stream", "configuration").info(log);
    }

    @Override
    public void onDisconnected(String reason) {
        metrics.setStoreReachable(false);
        LogEvent.of("store_lost")
                .with("stream", "configuration")
                .with("reason", reason)
                .warn(log);
    }
}
