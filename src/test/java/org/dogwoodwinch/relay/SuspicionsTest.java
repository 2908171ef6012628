package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.request.Quarantine;
import org.dogwoodwinch.request.SuspectRegistry;
import org.dogwoodwinch.request.SuspicionNotice;
import org.junit.jupiter.api.Test;

class SuspicionsTest {

    private static final String POISON = RelayFixture.post("/once/p", "p1", "", "poison");

    private final RelayFixture relay = new RelayFixture().configured();
    private long starts;

    private String list() {
        String id = "t" + starts++;
        relay.listed(new Incarnation(id, "desk", "10.0.0.1", 80, "dc-1", 6, false, Stage.WHOLE, 0));
        return id;
    }

    private void crash(RelayFixture.TargetEnd target) {
        target.close();
        relay.directory.apply(target.id(), 1_000 + starts, Optional.empty());
        relay.service.targetFoundGone(target.id());
    }

    /**
     * A call crashes each target that begins to run it, and its caller sends it again after every failure. The first
     * crash makes it suspect, the second, alone on its target, proves it: from then on it is refused and no target
     * crashes any more, while other calls are served.
     */
    @Test
    void aCallThatCrashesTargetsIsRefusedAfterTheSecondCrash() {
        int crashes = 0;
        for (int i = 0; i < 10; i++) {
            list();
            int before = relay.opened.size();
            String answer = relay.caller().send(POISON).received();
            if (relay.opened.size() > before) {
                crash(relay.target());
                crashes++;
            } else {
                assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
            }
        }
        assertEquals(2, crashes);

        relay.caller().send(RelayFixture.post("/once/p", "q1", "", "harmless"));
        assertTrue(relay.target().received().endsWith("harmless"));
    }

    /** A connection breaks and its target goes on working: the call is no suspect, however often that happens. */
    @Test
    void aBrokenConnectionAloneProvesNothing() {
        list();
        for (int i = 0; i < 5; i++) {
            relay.caller().send(POISON);
            relay.target().reset();
        }
        long fingerprint = Suspicions.fingerprint(new IncomingCall(
                HttpMethod.POST, "/once/p", EmptyHttpHeaders.INSTANCE, Bytes.ofUtf8("poison"), true, 0));
        assertFalse(relay.suspects.statusOf(fingerprint) == Quarantine.Status.QUARANTINED);
        assertEquals(5, relay.opened.size());
    }

    /** A call stood beside the guilty one on a crashed target. Sent again it completes, and nothing is held against it. */
    @Test
    void whatStoodBesideACrashIsClearedByCompleting() {
        list();
        relay.caller().send(RelayFixture.post("/once/i", "i1", "", "innocent"));
        crash(relay.target());
        list();
        for (int i = 0; i < 3; i++) {
            RelayFixture.CallerEnd caller = relay.caller().send(RelayFixture.post("/once/i", "i2", "", "innocent"));
            relay.target().answer(RelayFixture.success("i2", "done"));
            assertTrue(caller.received().endsWith("done"));
        }
    }

    /** Another instance told of a proved call: it is refused here though it never ran here. */
    @Test
    void whatAnotherInstanceProvedIsRefusedHere() {
        List<SuspicionNotice> told = new ArrayList<>();
        SuspectRegistry book = new SuspectRegistry(relay.time, 600_000, 600_000, told::add);
        long fingerprint = 99;
        book.onCrash(fingerprint, "a", "t");
        book.onTrialStarted(fingerprint, "b", "t2");
        book.onCrash(fingerprint, "b", "t2");

        told.forEach(notice -> relay.suspects.onPeerNotice(notice, 0));

        assertEquals(Quarantine.Status.QUARANTINED, relay.suspects.statusOf(fingerprint));
    }
}
