package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.forwarding.RouteTable;
import org.dogwoodwinch.platform.StoreClient;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.junit.jupiter.api.Test;

class ConfigurationReaderTest {

    private final List<String> events = new ArrayList<>();
    private long versionInForce;
    private long offset;

    private final ConfigurationReader reader = new ConfigurationReader(
            this::configure,
            new ForwardingMetrics(new PrometheusRegistry()),
            (services, version) -> events.add("moved to " + services + " by " + version));

    private boolean configure(RouteTable table) {
        if (table.version() <= versionInForce) {
            return false;
        }
        versionInForce = table.version();
        events.add("configured " + versionInForce);
        return true;
    }

    private void read(String configuration) {
        reader.onRecord(
                new KeyedRecord(StoreClient.CONFIGURATION_KEY, offset++, Optional.of(Bytes.ofUtf8(configuration))));
    }

    private void read(long version, String service) {
        read(streamRouteTo(service, version));
    }

    /** Returns a configuration with one route, whose streams may be resumed. */
    static String streamRouteTo(String service, long version) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r\",\"host\":\"a.example\",\"pathPrefix\":\"/\","
                + "\"kind\":\"streaming\",\"resumable\":true,\"timeoutMs\":5000,\"service\":\"" + service + "\"}]}";
    }

    /** Failure: a configuration moves a route, and nobody hears of the streams that began at the service before. */
    @Test
    void moveIsReportedOnceWithTheConfigurationThatMakesIt() {
        read(1, "a");
        read(2, "b");
        read(3, "b");

        assertEquals(List.of("configured 1", "configured 2", "moved to [b] by 2", "configured 3"), events);
    }

    /** Failure: a process starts, and its first configuration counts as a move of all routes. */
    @Test
    void firstConfigurationMovesNothing() {
        read(1, "a");

        assertEquals(List.of("configured 1"), events);
    }

    /** Failure: routes are compared with those of a configuration that was not in force. */
    @Test
    void configurationThatIsNotInForceMovesNothing() {
        read(2, "a");
        read(1, "b");
        read("{}");
        read(3, "a");
        read(4, "b");

        assertEquals(List.of("configured 2", "configured 3", "configured 4", "moved to [b] by 4"), events);
    }
}
