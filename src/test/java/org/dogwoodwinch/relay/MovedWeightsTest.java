package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.ApiKey;
import org.dogwoodwinch.forwarding.CallOwner;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.OwnerKeys;
import org.dogwoodwinch.forwarding.RouteKind;
import org.dogwoodwinch.forwarding.RouteTable;
import org.dogwoodwinch.forwarding.ServiceEntry;
import org.dogwoodwinch.forwarding.ServiceRoute;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.StreamId;
import org.dogwoodwinch.forwarding.WeightedService;
import org.junit.jupiter.api.Test;

/** Streams run while the configuration moves their route between the services "old" of v1 and "new" of v2. */
class MovedWeightsTest {

    private static final int STREAMS_COUNT = 40;
    private static final String PATH = "/a/";
    private static final String OTHER_PATH = "/b/";

    private final RelayFixture relay = new RelayFixture();
    private final List<String> begunAt = new ArrayList<>();
    private long configVersion;
    private Optional<OwnerKeys> ownerKeys = Optional.empty();

    private static ServiceRoute route(String name, String path, boolean resumable, WeightedService... services) {
        return new ServiceRoute(
                name,
                RelayFixture.HOST,
                path,
                RouteKind.STREAM,
                resumable,
                10_000,
                0,
                0,
                2,
                1,
                false,
                List.of(services));
    }

    private static WeightedService weighted(String service, double weight) {
        return new WeightedService(service, weight);
    }

    private void configure(ServiceRoute... routes) {
        relay.service
                .routes()
                .configure(new RouteTable(
                        ++configVersion,
                        List.of(routes),
                        List.of(
                                new ServiceEntry("old", 96, Optional.empty()),
                                new ServiceEntry("new", 96, Optional.empty())),
                        RelayFixture.CALLER_LIMITS,
                        ownerKeys));
    }

    private void configureWeights(double old, double other) {
        configure(route("a", PATH, true, weighted("old", old), weighted("new", other)));
    }

    private void addTargets() {
        for (String service : List.of("old", "new")) {
            String version = service.equals("old") ? "v1" : "v2";
            for (int i = 0; i < 2; i++) {
                relay.withTarget(new Incarnation(
                        service + i, service, "10.0.0.1", 80, "dc-1", 64, false, Stage.WHOLE, 0, 0, version));
            }
        }
    }

    private String latestService() {
        return relay.latestTargetConnection().targetId().replaceAll("[0-9]", "");
    }

    private void begin(String id, String fields) {
        RelayFixture.FakeCaller caller =
                relay.connectCaller().send(RelayFixture.postRequest(PATH + "x", id, fields, "x"));
        begunAt.add(latestService());
        relay.latestTargetConnection()
                .respond(RelayFixture.streamResponseHead(id) + RelayFixture.chunk("id: 1\ndata: x\n\n"));
        caller.disconnect();
    }

    private void beginAll() {
        addTargets();
        for (int i = 0; i < STREAMS_COUNT; i++) {
            begin("s" + i, "");
        }
        assertTrue(begunAt.containsAll(List.of("old", "new")));
    }

    /** Takes a stream up, and returns the service at which it goes on, or the status of the refusal. */
    private String takeUp(String path, int number, String fields) {
        int before = relay.targetConnections.size();
        RelayFixture.FakeCaller caller = relay.connectCaller()
                .send(RelayFixture.postRequest(
                        path + "x",
                        "again-" + path.charAt(1) + number,
                        fields + "Resumes: s" + number + "\r\nLast-Event-Id: 1\r\n",
                        "x"));
        if (relay.targetConnections.size() == before) {
            assertEquals(0, relay.service.openCallsCount());
            return caller.takeReceived().replaceAll("(?s)HTTP/1.1 ([0-9]+) .*", "$1");
        }
        String service = latestService();
        caller.disconnect();
        return service;
    }

    private List<String> takeUpAll(String path) {
        List<String> goneOnAt = new ArrayList<>();
        for (int i = 0; i < STREAMS_COUNT; i++) {
            goneOnAt.add(takeUp(path, i, ""));
        }
        return goneOnAt;
    }

    /** Failure: most of a route's weight moves, and most streams are refused although their service is still named. */
    @Test
    void streamGoesOnWhereItBeganAfterWeightsHaveMoved() {
        configureWeights(90, 10);
        beginAll();
        configureWeights(10, 90);

        assertEquals(begunAt, takeUpAll(PATH));
        configureWeights(90, 10);
        assertEquals(begunAt, takeUpAll(PATH));
    }

    /** Failure: a route is split or joined, and its streams go on where they never began, or nowhere. */
    @Test
    void streamGoesOnAtTheServiceThatItsRouteStillNames() {
        configure(route("a", PATH, true, weighted("old", 1)));
        addTargets();
        for (int i = 0; i < STREAMS_COUNT; i++) {
            begin("s" + i, "");
        }
        configureWeights(1, 99);

        assertEquals(begunAt, takeUpAll(PATH));
    }

    /** Failure: a stream goes on at a service to which only an older configuration led. */
    @Test
    void streamIsRefusedWhereItsServiceGetsNoCallsAnyMore() {
        configureWeights(50, 50);
        beginAll();
        List<String> expected =
                begunAt.stream().map(each -> each.equals("new") ? "new" : "503").toList();

        configureWeights(0, 100);
        assertEquals(expected, takeUpAll(PATH));
        configure(route("a", PATH, true, weighted("new", 1)));
        assertEquals(expected, takeUpAll(PATH));
    }

    /** Failure: a route has another name now, and another service follows from the id and that name. */
    @Test
    void streamGoesOnWhereItBeganAfterItsRouteWasRenamed() {
        configureWeights(50, 50);
        beginAll();
        configure(route("renamed", PATH, true, weighted("old", 50), weighted("new", 50)));

        assertEquals(begunAt, takeUpAll(PATH));
    }

    /** Failure: the id of a stream of another route steers a call to a service that its own route does not name. */
    @Test
    void streamOfAnotherRouteGoesOnOnlyWhereBothLead() {
        ServiceRoute own = route("a", PATH, true, weighted("old", 50), weighted("new", 50));
        configure(own, route("b", OTHER_PATH, true, weighted("old", 1)));
        beginAll();

        assertEquals(
                begunAt.stream().map(each -> each.equals("old") ? "old" : "503").toList(), takeUpAll(OTHER_PATH));
    }

    /** Failure: an owner takes up the stream of another one, whose id it guesses. */
    @Test
    void streamOfAnotherOwnerIsUnknown() {
        ownerKeys = Optional.of(new OwnerKeys(Map.of(
                new ApiKey("key-1"), new CallOwner("hall-1", OptionalInt.empty()),
                new ApiKey("key-2"), new CallOwner("hall-2", OptionalInt.empty()))));
        configureWeights(50, 50);
        addTargets();
        begin("s0", "X-Api-Key: key-1\r\n");
        configureWeights(40, 60);

        assertEquals("503", takeUp(PATH, 0, "X-Api-Key: key-2\r\n"));
        assertEquals(begunAt.get(0), takeUp(PATH, 0, "X-Api-Key: key-1\r\n"));
    }

    /** Failure: chance chose the service of a stream that may not be resumed, and its id seems to tell which one. */
    @Test
    void streamWhoseServiceChanceChoseHasNoneWithoutRecord() {
        List<StreamTakeUp> takeUps = new ArrayList<>();
        relay.streamOriginsDelegate = new RecordedTakeUps(takeUps);
        addTargets();
        configure(route("a", PATH, false, weighted("old", 50), weighted("new", 50)));
        takeUp(PATH, 0, "");
        configure(route("a", PATH, true, weighted("old", 50), weighted("new", 50)));
        takeUp(PATH, 0, "");

        assertEquals(Optional.empty(), takeUps.get(0).serviceWithoutRecord());
        assertTrue(takeUps.get(1).serviceWithoutRecord().isPresent());
        takeUps.forEach(each -> assertEquals(
                List.of("new", "old"), each.services().stream().sorted().toList()));
    }

    /** Failure: weights move while a call is sent again, and the run goes on at another service. */
    @Test
    void callThatIsSentAgainStaysAtItsService() {
        configureWeights(90, 10);
        addTargets();
        relay.connectCaller().send(RelayFixture.postRequest(PATH + "x", "s0", "", "x"));
        String service = latestService();
        relay.latestTargetConnection()
                .respond(RelayFixture.streamResponseHead("s0") + RelayFixture.chunk("id: 1\ndata: x\n\n"));
        configureWeights(service.equals("old") ? 0 : 100, service.equals("old") ? 100 : 0);
        relay.latestTargetConnection().reset();

        assertEquals(2, relay.targetConnections.size());
        assertEquals(service, latestService());
    }

    /** Knows nothing, and keeps what it is asked. */
    private record RecordedTakeUps(List<StreamTakeUp> takeUps) implements StreamOrigins {
        @Override
        public void recordBegin(StreamId _stream, String _softwareVersion, OptionalLong _callerMillis) {}

        @Override
        public void find(StreamTakeUp takeUp, Consumer<StreamOrigin> onFound) {
            takeUps.add(takeUp);
            onFound.accept(new StreamOrigin.Unknown("no_record"));
        }
    }
}
