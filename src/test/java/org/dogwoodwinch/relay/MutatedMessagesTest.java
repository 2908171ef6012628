package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Mutates requests and responses from fixed seeds: the relay forwards each one verbatim or not at all, and none ends the
 * process.
 */
class MutatedMessagesTest {

    private static final int MUTATIONS_COUNT = 400;
    private static final List<String> INSERTIONS = List.of(
            "\r\n",
            "\n",
            "\r\n\r\n",
            "\r\n ",
            "Content-Length: 3\r\n",
            "Transfer-Encoding: chunked\r\n",
            "0\r\n\r\n",
            "\0",
            ":",
            " ",
            "GET /once/z HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: z\r\n\r\n",
            "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nContent-Length: 0\r\n\r\n");

    private static String mutate(String text, UniformRandomProvider random) {
        StringBuilder mutant = new StringBuilder(text);
        int changesCount = 1 + random.nextInt(3);
        for (int i = 0; i < changesCount; i++) {
            int position = random.nextInt(mutant.length());
            switch (random.nextInt(4)) {
                case 0 -> mutant.setCharAt(position, (char) random.nextInt(256));
                case 1 -> mutant.deleteCharAt(position);
                case 2 -> mutant.insert(position, INSERTIONS.get(random.nextInt(INSERTIONS.size())));
                default -> mutant.delete(position, Math.min(mutant.length(), position + 1 + random.nextInt(12)));
            }
        }
        return mutant.toString();
    }

    /**
     * A target gets at most one request before it responds, with request line and body taken verbatim from the caller's
     * bytes.
     */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15})
    void mutatedRequestIsForwardedVerbatimOrRefused(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        String request = RelayFixture.postRequest("/once/a", "a1", "X: y\r\nDeadline-Ms: 500\r\n", "hello world");
        for (int i = 0; i < MUTATIONS_COUNT; i++) {
            RelayFixture relay = new RelayFixture().withRoutes().withPlainTarget("t1");
            String mutant = mutate(request, random);
            RelayFixture.FakeCaller caller = relay.connectCaller().send(mutant);
            caller.takeReceived();
            assertTrue(relay.targetConnections.size() <= 1, mutant);
            if (!relay.targetConnections.isEmpty()) {
                assertForwardedVerbatim(mutant, relay.latestTargetConnection().takeReceived());
            }
            caller.disconnect();
            assertEquals(0, relay.service.openCallsCount());
        }
    }

    /** A connection may be opened for a call whose deadline passes meanwhile; then nothing is written on it. */
    private static void assertForwardedVerbatim(String mutant, String forwarded) {
        if (forwarded.isEmpty()) {
            return;
        }
        String requestLine = forwarded.substring(0, forwarded.indexOf("\r\n"));
        assertTrue(mutant.contains(requestLine), () -> requestLine + " for mutant " + mutant);
        int bodyAt = forwarded.indexOf("\r\n\r\n") + 4;
        String body = forwarded.substring(bodyAt);
        assertTrue(mutant.contains(body), () -> body + " for mutant " + mutant);
    }

    /**
     * The caller gets one response: a failure, or a success with a Server-Stamp header and a body taken verbatim from
     * the target's bytes.
     */
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24, 25})
    void mutatedResponseIsForwardedVerbatimOrFails(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        String success = RelayFixture.successResponse("a1", "hello world");
        for (int i = 0; i < MUTATIONS_COUNT; i++) {
            RelayFixture relay = new RelayFixture().withRoutes().withPlainTarget("t1");
            RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
            String mutant = mutate(success, random);
            relay.latestTargetConnection().takeReceived();
            relay.latestTargetConnection().respond(mutant);
            relay.latestTargetConnection().close();
            assertResponseVerbatimOrFailure(mutant, caller.takeReceived());
            assertEquals(0, relay.service.openCallsCount());
        }
    }

    private static void assertResponseVerbatimOrFailure(String mutant, String response) {
        assertTrue(response.startsWith("HTTP/1.1 "), () -> response + " for mutant " + mutant);
        assertEquals(
                1, response.split("HTTP/1\\.1 [0-9]{3} ", -1).length - 1, () -> response + " for mutant " + mutant);
        String body = response.substring(response.indexOf("\r\n\r\n") + 4);
        if (response.startsWith("HTTP/1.1 2")) {
            assertTrue(response.toLowerCase(Locale.ROOT).contains("\r\nserver-stamp:"), () -> response);
            assertTrue(mutant.contains(body), () -> body + " for mutant " + mutant);
        }
    }
}
