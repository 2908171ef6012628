package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Hands the connections of a whole fleet to one instance, while all targets have room for their calls. */
class ConnectionsAtOneInstanceTest {

    private static final Pattern REQUEST_ID = Pattern.compile("(?im)^request-id: (\\S+)\r?$");

    /** The calls of each instance that are under way at the same moment. */
    private static final int CALLS_PER_INSTANCE = 2;

    /** The users' bound, as a share of what is served while connections are spread. */
    private static final double MIN_SERVED_SHARE = 0.75;

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final List<RelayFixture> instances = new ArrayList<>();

    private void startFleet(int count) {
        Set<String> names = IntStream.range(0, count).mapToObj(i -> "n" + i).collect(Collectors.toSet());
        for (int i = 0; i < count; i++) {
            RelayFixture instance = new RelayFixture(50, time, "n" + i, names).withRoutes();
            instance.sharingInstancesCount = count;
            IntStream.range(0, 4).forEach(target -> instance.withPlainTarget("t" + target));
            instances.add(instance);
        }
        for (int i = 1; i < count; i++) {
            instances.get(0).neighbourLinks.add("n" + i, instances.get(i));
        }
    }

    private void answerAll() {
        instances.get(0).neighbourLinks.deliver();
        for (RelayFixture instance : instances) {
            for (RelayFixture.FakeTargetConnection target : List.copyOf(instance.targetConnections)) {
                Matcher id = REQUEST_ID.matcher(target.takeReceived());
                if (id.find()) {
                    target.respond(RelayFixture.successResponse(id.group(1), "done"));
                }
            }
        }
        instances.get(0).neighbourLinks.deliver();
    }

    /** Guards against calls that are refused for the connections of one instance while the others have theirs left. */
    @ParameterizedTest
    @CsvSource({"6", "90"})
    void callsAreServedWhereOneInstanceGetsTheConnectionsOfAll(int count) {
        startFleet(count);
        List<RelayFixture.FakeCaller> callers = IntStream.range(0, count * CALLS_PER_INSTANCE)
                .mapToObj(i -> instances
                        .get(0)
                        .connectCaller()
                        .send(RelayFixture.postRequest("/once/p", "c" + i, "", "question")))
                .toList();
        answerAll();

        long served = callers.stream()
                .filter(caller -> caller.takeReceived().startsWith("HTTP/1.1 200 "))
                .count();
        assertTrue(served >= MIN_SERVED_SHARE * callers.size(), "served: " + served + " of " + callers.size());
    }
}
