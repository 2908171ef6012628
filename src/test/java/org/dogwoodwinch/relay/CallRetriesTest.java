package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.forwarding.PrefillQueue;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Counts what targets receive from a fleet of which one instance after the other gets more calls than connections. */
class CallRetriesTest {

    private static final Pattern REQUEST_ID = Pattern.compile("(?im)^request-id: (\\S+)\r?$");
    private static final Set<String> NAMES = Set.of("n0", "n1", "n2", "n3");
    private static final double RATIO = 0.2;
    private static final double SLACK = 8;
    /** All rounds are within one window of the budget. */
    private static final int ROUNDS = 100;

    private static final int ROUND_MILLIS = 50;
    private static final int PLAIN_TARGETS = 6;
    private static final double FAILED_SHARE = 0.5;

    /** Leaves two connections to each plain target and ten to each engine at each instance. */
    private static final int SHARING_INSTANCES = 36;

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final List<RelayFixture> instances = new ArrayList<>();
    private final Map<String, Integer> arrivalsBySend = new HashMap<>();
    private final Set<String> idsAtOthers = new HashSet<>();

    /** A request that a target has received and not answered. */
    private record Received(RelayFixture.FakeTargetConnection target, String id, boolean prefillOnly) {}

    private void startFleet() {
        for (int i = 0; i < NAMES.size(); i++) {
            RelayFixture instance = new RelayFixture(SLACK / NAMES.size(), time, "n" + i, NAMES).withRoutes();
            instance.budget.setRatio(RATIO);
            instance.sharingInstancesCount = SHARING_INSTANCES;
            IntStream.range(0, PLAIN_TARGETS).forEach(target -> instance.withPlainTarget("t" + target));
            instance.withEngine("p1", Stage.PREFILL).withEngine("d1", Stage.DECODE);
            Map<String, TargetLoad> peerLoads = new HashMap<>();
            // Separate prefills are faster, and one plain target seems free though its connections are used.
            peerLoads.put("d1", new TargetLoad(9, PrefillQueue.ofPrompt(0, 400_000)));
            IntStream.range(1, PLAIN_TARGETS)
                    .forEach(target -> peerLoads.put("t" + target, new TargetLoad(3, PrefillQueue.EMPTY)));
            instance.loads.replacePeerLoads("peer", peerLoads);
            instances.add(instance);
        }
        for (RelayFixture instance : instances) {
            for (int i = 0; i < NAMES.size(); i++) {
                if (instances.get(i) != instance) {
                    instance.neighbourLinks.add("n" + i, instances.get(i));
                }
            }
        }
    }

    private RelayFixture receiverOf(int round) {
        return instances.get(round % NAMES.size());
    }

    private void sendRound(int round, int plainCalls, int modelCalls) {
        for (int i = 0; i < plainCalls + modelCalls; i++) {
            String id = "c" + round + "-" + i;
            boolean plain = i < plainCalls;
            String path = plain ? (i % 2 == 0 ? "/safe/p" : "/once/p") : "/model/p";
            String headers =
                    plain ? "" : "Model: m\r\nToken-Count: 20000,80\r\nPrompt-Prefix: 5c:15000," + id + ":5000\r\n";
            receiverOf(round).connectCaller().send(RelayFixture.postRequest(path, id, headers, "q"));
        }
    }

    private List<Received> receive(int round) {
        receiverOf(round).neighbourLinks.deliver();
        List<Received> received = new ArrayList<>();
        List<RelayFixture> othersFirst = new ArrayList<>(instances);
        Collections.rotate(othersFirst, -1 - round % NAMES.size());
        for (RelayFixture instance : othersFirst) {
            for (RelayFixture.FakeTargetConnection target : List.copyOf(instance.targetConnections)) {
                String request = target.takeReceived();
                Matcher id = REQUEST_ID.matcher(request);
                if (id.find()) {
                    boolean prefillOnly = request.contains("stage: prefill");
                    arrivalsBySend.merge(id.group(1) + (prefillOnly ? "/prefill" : ""), 1, Integer::sum);
                    received.add(new Received(target, id.group(1), prefillOnly));
                    if (instance != receiverOf(round)) {
                        idsAtOthers.add(id.group(1));
                    }
                }
            }
        }
        return received;
    }

    /** Answers all requests, the successful ones first: a retry needs a connection that is no longer used. */
    private static void answerAll(List<Received> received, UniformRandomProvider random) {
        Map<Boolean, List<Received>> bySuccess = received.stream()
                .filter(request -> request.target().isOpen())
                .collect(Collectors.partitioningBy(_request -> random.nextDouble() >= FAILED_SHARE));
        bySuccess.get(true).forEach(request -> request.target().respond(success(request)));
        bySuccess.get(false).forEach(request -> request.target().respond(failure(request, random)));
    }

    private static String success(Received request) {
        boolean whole = request.prefillOnly() || request.target().targetId().startsWith("t");
        return whole
                ? RelayFixture.successResponse(request.id(), "done")
                : RelayFixture.streamResponseHead(request.id()) + RelayFixture.chunk("id: 1\ndata: x\n\n")
                        + "0\r\n\r\n";
    }

    /** Returns the rejection of a call, or the failure of a prefill or its success without a handle. */
    private static String failure(Received request, UniformRandomProvider random) {
        if (request.prefillOnly() && random.nextBoolean()) {
            return RelayFixture.successResponse(request.id(), "");
        }
        return "HTTP/1.1 503 Busy\r\nRequest-Id: " + request.id() + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    }

    /**
     * Guards against a fleet that overloads a failing service: calls that targets have rejected or prefilled are passed
     * on and sent again as first ones, or a call that is passed on adds to the budgets of two instances.
     */
    @ParameterizedTest
    @CsvSource({"30, 0, 1", "30, 0, 2", "20, 14, 3", "20, 14, 4"})
    void sendsBeyondTheFirstStayWithinTheBudgetOfTheFleet(int plainCalls, int modelCalls, int seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        startFleet();
        for (int round = 0; round < ROUNDS; round++) {
            sendRound(round, plainCalls, modelCalls);
            List<Received> received = receive(round);
            if (round % 10 == 0) {
                receiverOf(round).neighbourLinks.breakLatest();
            }
            while (!received.isEmpty()) {
                answerAll(received, random);
                received = receive(round);
            }
            time.advanceMillis(ROUND_MILLIS);
        }

        int callsCount = ROUNDS * (plainCalls + modelCalls);
        int repeatsCount =
                arrivalsBySend.values().stream().mapToInt(count -> count - 1).sum();
        assertTrue(
                repeatsCount <= RATIO * callsCount + SLACK, repeatsCount + " sends beyond the first of " + callsCount);
        assertTrue(repeatsCount > 0 && !idsAtOthers.isEmpty(), repeatsCount + ", " + idsAtOthers.size());
        instances.forEach(instance -> assertEquals(0, instance.service.openCallsCount()));
    }
}
