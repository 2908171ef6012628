package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.forwarding.StreamId;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.platform.StoreClient;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.dogwoodwinch.relay.StreamOrigin;
import org.junit.jupiter.api.Test;

/** Plays configurations that move a route from the service "old", with version v1, to the service "new", with v2. */
class StreamComponentsTest {

    private static final long TIMEOUT_MILLIS = 5_000;

    /** The time-out and that by which the views of two instances may differ. */
    private static final long LIFETIME_MILLIS = TIMEOUT_MILLIS + 3_000;

    private static final long ANSWER_MILLIS = 200;
    private static final Map<String, Set<String>> VERSIONS = Map.of("old", Set.of("v1"), "new", Set.of("v2"));

    private final SimulatedFleet fleet = new SimulatedFleet(6, 3, 7);
    private final List<Instance> instances =
            fleet.members.stream().map(Instance::new).toList();

    private void configure(long version, String service) {
        instances.forEach(instance -> instance.configure(version, service));
    }

    private void startWithRouteToOld() {
        configure(1, "old");
        fleet.time.advanceMillis(StreamComponents.UNKNOWN_TIMEOUT_MILLIS + LIFETIME_MILLIS);
    }

    private static void assertKnown(String version, StreamOrigin origin) {
        assertEquals(version, assertInstanceOf(StreamOrigin.Known.class, origin).softwareVersion());
    }

    /** Failure: a stream is taken up at the service to which its route has moved, whose version did not begin it. */
    @Test
    void onlyVersionOfServiceIsUnknownUntilStreamsOfTheRouteBeforeHaveEnded() {
        startWithRouteToOld();
        configure(2, "new");

        for (Instance instance : instances) {
            assertInstanceOf(StreamOrigin.Unknown.class, instance.find("new", "nobody-knows"));
            assertInstanceOf(StreamOrigin.Unknown.class, instance.find("new"));
        }
        fleet.time.advanceMillis(LIFETIME_MILLIS - (instances.size() * 2L + 1) * ANSWER_MILLIS);
        assertInstanceOf(StreamOrigin.Unknown.class, instances.get(0).find("new"));
        assertKnown("v2", instances.get(0).find("new", "nobody-knows"));
    }

    /** Failure: an instance that starts after the move takes the word of others, who knew the service for long. */
    @Test
    void instanceThatStartsAfterTheMoveLearnsOfIt() {
        startWithRouteToOld();
        configure(2, "new");
        instances.get(0).restart();
        instances.get(0).configure(2, "new");
        fleet.time.advanceMillis(2_000);

        assertInstanceOf(StreamOrigin.Unknown.class, instances.get(0).find("new", "nobody-knows"));
    }

    /** Failure: streams that begin after the move are lost with the instance that began them. */
    @Test
    void beginsAreToldAfterTheMove() {
        startWithRouteToOld();
        configure(2, "new");
        instances.get(0).begin(new StreamId("owner", "new", "a1"), "v2");
        assertTrue(fleet.members.get(0).sentBytesByTopic.containsKey(PeerTopic.STREAM_BEGIN), "begins are not told");
        fleet.time.advanceMillis(5);
        fleet.members.get(0).setIsolated(true);

        assertKnown("v2", instances.get(3).find("new", "a1"));
    }

    /** Failure: a configuration that moves nothing, or another service, costs take-ups and messages. */
    @Test
    void configurationThatMovesNothingCostsNothing() {
        startWithRouteToOld();
        configure(2, "old");
        instances.get(0).begin(new StreamId("owner", "old", "a1"), "v1");

        assertNull(fleet.members.get(0).sentBytesByTopic.get(PeerTopic.STREAM_BEGIN));
        for (Instance instance : instances) {
            assertKnown("v1", instance.find("old", "nobody-knows"));
            assertKnown("v1", instance.find("old"));
        }
        configure(3, "new");
        assertKnown("v1", instances.get(0).find("old", "nobody-knows"));
    }

    private final class Instance {
        private final SimulatedFleet.Member member;
        private StreamComponents streams;
        private ConfigurationReader configurations;

        Instance(SimulatedFleet.Member member) {
            this.member = member;
            begin();
        }

        private void begin() {
            streams = new StreamComponents(
                    member.name,
                    member.exchange,
                    this::otherNames,
                    VERSIONS::get,
                    () -> TIMEOUT_MILLIS,
                    () -> false,
                    (_outcome, _count) -> {},
                    RandomSource.XO_RO_SHI_RO_128_PP.create(7),
                    fleet.time);
            streams.start(VERSIONS::keySet);
            configurations = new ConfigurationReader(
                    _table -> true, new ForwardingMetrics(new PrometheusRegistry()), streams::onRoutesMoved);
        }

        void begin(StreamId stream, String version) {
            streams.origins().recordBegin(stream, version, OptionalLong.empty());
        }

        void restart() {
            member.restart();
            begin();
        }

        void configure(long version, String service) {
            configurations.onRecord(new KeyedRecord(
                    StoreClient.CONFIGURATION_KEY,
                    version,
                    Optional.of(Bytes.ofUtf8(ConfigurationReaderTest.streamRouteTo(service, version)))));
        }

        private List<String> otherNames() {
            return fleet.members.stream()
                    .filter(other -> other != member)
                    .map(other -> other.name)
                    .toList();
        }

        StreamOrigin find(String service, String requestId) {
            return find(service, Optional.of(new StreamId("owner", service, requestId)));
        }

        StreamOrigin find(String service) {
            return find(service, Optional.empty());
        }

        private StreamOrigin find(String service, Optional<StreamId> stream) {
            AtomicReference<StreamOrigin> found = new AtomicReference<>();
            streams.origins().find(StreamBeginFixture.takeUpAt(service, stream), found::set);
            fleet.time.advanceMillis(ANSWER_MILLIS);
            assertTrue(found.get() != null, "no answer in time");
            return found.get();
        }
    }
}
