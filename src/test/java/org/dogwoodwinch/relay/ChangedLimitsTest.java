package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.forwarding.CallerLimits;
import org.dogwoodwinch.forwarding.RouteKind;
import org.dogwoodwinch.forwarding.RouteTable;
import org.dogwoodwinch.forwarding.ServiceEntry;
import org.dogwoodwinch.forwarding.ServiceRoute;
import org.dogwoodwinch.forwarding.WeightedService;
import org.junit.jupiter.api.Test;

/** Callers keep their connections while a configuration changes the limits on what they may send. */
class ChangedLimitsTest {

    private static final CallerLimits LOW = new CallerLimits(1_000, 1_000, 2_000, 5_000);
    private static final CallerLimits HIGH = new CallerLimits(8_000, 10_000, 4_000, 20_000);
    private static final String LONG_BODY = "x".repeat(5_000);
    private static final String LONG_FIELD = "X-Long: " + "y".repeat(4_000) + "\r\n";

    private final RelayFixture relay = new RelayFixture().withPlainTarget("t1");
    private long version;

    private void configure(CallerLimits limits) {
        ServiceRoute route = new ServiceRoute(
                "r",
                RelayFixture.HOST,
                "/once/",
                RouteKind.ONCE,
                false,
                2_000,
                0,
                0,
                1,
                1,
                false,
                List.of(new WeightedService("desk", 1)));
        relay.service
                .routes()
                .configure(new RouteTable(
                        ++version,
                        List.of(route),
                        List.of(new ServiceEntry("desk", 96, Optional.empty())),
                        limits,
                        Optional.empty()));
    }

    private static String request(String id, String fields, String body) {
        return RelayFixture.postRequest("/once/a", id, fields, body);
    }

    /** Sends a request and returns the status of its answer. */
    private String exchange(RelayFixture.FakeCaller caller, String id, String fields, String body) {
        caller.send(request(id, fields, body));
        String refusal = caller.takeReceived();
        if (!refusal.isEmpty()) {
            return statusOf(refusal);
        }
        relay.latestTargetConnection().respond(RelayFixture.successResponse(id, "done"));
        return statusOf(caller.takeReceived());
    }

    private static String statusOf(String response) {
        return response.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length());
    }

    /** Failure: a limit is raised, and a connection that was open before refuses what every configuration allows. */
    @Test
    void raisedLimitsHoldOnOpenConnections() {
        configure(LOW);
        RelayFixture.FakeCaller used = relay.connectCaller();
        RelayFixture.FakeCaller unused = relay.connectCaller();
        assertEquals("200", exchange(used, "a1", "", "small"));
        configure(HIGH);

        assertEquals("200", exchange(used, "a2", "", LONG_BODY));
        assertEquals("200", exchange(used, "a3", LONG_FIELD, LONG_BODY));
        assertEquals("200", exchange(unused, "a4", LONG_FIELD, LONG_BODY));
    }

    /** Failure: a limit is lowered, and open connections take for ever what it forbids. */
    @Test
    void loweredLimitsHoldOnOpenConnections() {
        configure(HIGH);
        RelayFixture.FakeCaller first = relay.connectCaller();
        RelayFixture.FakeCaller second = relay.connectCaller();
        assertEquals("200", exchange(first, "a1", LONG_FIELD, LONG_BODY));
        assertEquals("200", exchange(second, "a2", LONG_FIELD, LONG_BODY));
        configure(LOW);

        assertEquals("413", exchange(first, "a3", "", LONG_BODY));
        assertEquals("431", exchange(second, "a4", LONG_FIELD, ""));
    }

    /** Failure: a connection from before the first configuration keeps the limits that held without one. */
    @Test
    void limitsOfFirstConfigurationHoldOnConnectionsFromBefore() {
        RelayFixture.FakeCaller caller = relay.connectCaller();
        configure(LOW);

        assertEquals("413", exchange(caller, "a1", "", LONG_BODY));
    }

    /** Failure: a request under way while the limits change is cut by the decoder of the next one. */
    @Test
    void requestIsReadByTheLimitsOfItsBegin() {
        configure(HIGH);
        RelayFixture.FakeCaller caller = relay.connectCaller();
        String whole = request("a1", LONG_FIELD, LONG_BODY);
        caller.send(whole.substring(0, 2_000));
        configure(LOW);
        caller.send(whole.substring(2_000, 6_000)).send(whole.substring(6_000) + request("a2", "", "small"));
        relay.latestTargetConnection().respond(RelayFixture.successResponse("a1", "done"));
        assertEquals("200", statusOf(caller.takeReceived()));
        relay.latestTargetConnection().respond(RelayFixture.successResponse("a2", "done"));

        assertEquals("200", statusOf(caller.takeReceived()));
    }

    /** Failure: an idle connection is closed by a limit that was raised, or was lowered while its caller was idle. */
    @Test
    void idleConnectionIsKeptForTheLongerLimit() {
        configure(LOW);
        RelayFixture.FakeCaller raised = relay.connectCaller();
        assertEquals("200", exchange(raised, "a1", "", "small"));
        configure(HIGH);
        RelayFixture.FakeCaller lowered = relay.connectCaller();
        assertEquals("200", exchange(lowered, "a2", "", "small"));
        relay.time.advanceMillis(15_000);
        assertFalse(raised.isClosed());
        configure(LOW);
        relay.time.advanceMillis(2_000);
        assertFalse(lowered.isClosed());
        relay.time.advanceMillis(8_000);

        assertTrue(raised.isClosed());
        assertTrue(lowered.isClosed());
    }
}
