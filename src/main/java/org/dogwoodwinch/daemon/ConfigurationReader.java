package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.Objects;
import java.util.Set;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.LogPosition;
import org.dogwoodwinch.follow.StreamListener;
import org.dogwoodwinch.forwarding.RouteTable;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.platform.ConfigurationDecoder;
import org.dogwoodwinch.platform.StoreClient;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.dogwoodwinch.relay.ForwardingService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Applies each newer configuration of the store; during an outage the last one stays in force. */
final class ConfigurationReader implements StreamListener {

    private static final Logger log = LoggerFactory.getLogger(ConfigurationReader.class);

    private final ForwardingService service;
    private final ForwardingMetrics metrics;

    ConfigurationReader(ForwardingService service, ForwardingMetrics metrics) {
        this.service = Objects.requireNonNull(service, "service");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void onRecord(KeyedRecord record) {
        if (!record.key().equals(StoreClient.CONFIGURATION_KEY)
                || record.value().isEmpty()) {
            return;
        }
        try {
            RouteTable table = ConfigurationDecoder.decode(record.value().get());
            boolean inForce = service.configure(table);
            if (inForce) {
                metrics.setConfigurationVersion(table.version());
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
