package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Mutated messages, from fixed seeds, on either side: none is passed on changed, and none ends the process. */
class MutatedBytesTest {

    private static final int MUTANTS = 400;
    private static final List<String> SPLICES = List.of(
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
        int changes = 1 + random.nextInt(3);
        for (int i = 0; i < changes; i++) {
            int at = random.nextInt(mutant.length());
            switch (random.nextInt(4)) {
                case 0 -> mutant.setCharAt(at, (char) random.nextInt(256));
                case 1 -> mutant.deleteCharAt(at);
                case 2 -> mutant.insert(at, SPLICES.get(random.nextInt(SPLICES.size())));
                default -> mutant.delete(at, Math.min(mutant.length(), at + 1 + random.nextInt(12)));
            }
        }
        return mutant.toString();
    }

    /**
     * A caller's bytes are changed at random. What a target gets of them is one request at most before an answer, whose
     * line and body stand in the caller's bytes as they are.
     */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15})
    void aMutatedRequestIsPassedOnAsItStandsOrNotAtAll(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        String request = RelayFixture.post("/once/a", "a1", "X: y\r\nDeadline-Ms: 500\r\n", "hello world");
        for (int i = 0; i < MUTANTS; i++) {
            RelayFixture relay = new RelayFixture().configured().plain("t1");
            String mutant = mutate(request, random);
            RelayFixture.CallerEnd caller = relay.caller().send(mutant);
            caller.received();
            assertTrue(relay.opened.size() <= 1, mutant);
            if (!relay.opened.isEmpty()) {
                checkPassedOn(mutant, relay.target().received());
            }
            caller.leave();
            assertEquals(0, relay.service.openCount());
        }
    }

    /** A connection to the target may be opened for a call whose deadline is over by then; nothing is written on it. */
    private static void checkPassedOn(String mutant, String passedOn) {
        if (passedOn.isEmpty()) {
            return;
        }
        String line = passedOn.substring(0, passedOn.indexOf("\r\n"));
        assertTrue(mutant.contains(line), () -> line + " of " + mutant);
        int bodyAt = passedOn.indexOf("\r\n\r\n") + 4;
        String body = passedOn.substring(bodyAt);
        assertTrue(mutant.contains(body), () -> body + " of " + mutant);
    }

    /**
     * A target's bytes are changed at random. The caller gets one answer: a success only with the signature and with a
     * body that stands in the target's bytes, or a failure.
     */
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24, 25})
    void aMutatedAnswerIsHandedOnAsItStandsOrFails(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        String success = RelayFixture.success("a1", "hello world");
        for (int i = 0; i < MUTANTS; i++) {
            RelayFixture relay = new RelayFixture().configured().plain("t1");
            RelayFixture.CallerEnd caller = relay.caller().send(RelayFixture.get("/once/a", "a1"));
            String mutant = mutate(success, random);
            relay.target().received();
            relay.target().answer(mutant);
            relay.target().close();
            checkHandedOn(mutant, caller.received());
            assertEquals(0, relay.service.openCount());
        }
    }

    private static void checkHandedOn(String mutant, String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 "), () -> answer + " of " + mutant);
        assertEquals(1, answer.split("HTTP/1\\.1 [0-9]{3} ", -1).length - 1, () -> answer + " of " + mutant);
        String body = answer.substring(answer.indexOf("\r\n\r\n") + 4);
        if (answer.startsWith("HTTP/1.1 2")) {
            assertTrue(answer.toLowerCase(Locale.ROOT).contains("\r\nserver-stamp:"), () -> answer);
            assertTrue(mutant.contains(body), () -> body + " of " + mutant);
        }
    }
}
