package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.dogwoodwinch.forwarding.ApiKey;
import org.dogwoodwinch.forwarding.CallOwner;
import org.dogwoodwinch.forwarding.OwnerKeys;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Calls that were passed on, at the stop or loss of the instance that took them over. */
class StopOfOtherInstanceTest {

    private static final Set<String> NAMES = Set.of("a", "b", "c");
    private static final List<String> TARGETS = List.of("t0", "t1", "t2");
    private static final String KEY_HEADER = "X-Api-Key: secret-key\r\n";

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final RelayFixture cut = new RelayFixture(50, time, "a", NAMES);
    private final RelayFixture first = new RelayFixture(50, time, "b", NAMES);
    private final RelayFixture second = new RelayFixture(50, time, "c", NAMES);

    @BeforeEach
    void cutOff() {
        for (RelayFixture instance : List.of(cut, first, second)) {
            instance.ownerKeys = Optional.of(
                    new OwnerKeys(Map.of(new ApiKey("secret-key"), new CallOwner("hall-1", OptionalInt.empty()))));
            instance.withRoutes();
            TARGETS.forEach(instance::withPlainTarget);
            instance.service.startIsolationWatch();
        }
        cut.neighbourLinks.add("b", first);
        cut.neighbourLinks.add("c", second);
        cut.neighbourLinks.isolatedNames.add("c");
        cut.unreachableTargetIds.addAll(TARGETS);
        cut.connectCaller().send(RelayFixture.postRequest("/safe/x", "x1", KEY_HEADER, "q"));
        time.advanceMillis(200);
        assertTrue(cut.service.isIsolated());
    }

    private RelayFixture.FakeCaller sendStream() {
        RelayFixture.FakeCaller caller =
                cut.connectCaller().send(RelayFixture.postRequest("/resume/p", "p1", KEY_HEADER, "q"));
        cut.neighbourLinks.deliver();
        cut.neighbourLinks.isolatedNames.clear();
        return caller;
    }

    private String received(RelayFixture.FakeCaller caller) {
        cut.neighbourLinks.deliver();
        return caller.takeReceived();
    }

    /** Guards against a stream that ends without its end as another instance is lost, though its target is sound. */
    @Test
    void streamIsResumedAtAnotherInstanceWhenTheFirstIsLost() {
        RelayFixture.FakeCaller caller = sendStream();
        first.latestTargetConnection()
                .respond(RelayFixture.streamResponseHead("p1") + RelayFixture.chunk("id: 1\ndata: a\n\n"));
        assertTrue(received(caller).contains("data: a"));

        cut.neighbourLinks.breakLatest();
        cut.neighbourLinks.deliver();

        assertEquals(1, second.targetConnections.size(), "closed: " + caller.isClosed());
        String resumed = second.latestTargetConnection().takeReceived().toLowerCase(Locale.ROOT);
        assertTrue(resumed.contains("last-event-id: 1\r\n"), resumed);
    }
}
