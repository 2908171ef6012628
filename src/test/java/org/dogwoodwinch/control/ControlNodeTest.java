package org.dogwoodwinch.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueCodec;
import org.dogwoodwinch.catalogue.SampleCatalogues;
import org.dogwoodwinch.controllog.FollowerSettings;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.standin.MemoryLog;
import org.dogwoodwinch.standin.MemoryLogLimits;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class ControlNodeTest {

    private static final long RETENTION_MILLIS = 60_000;

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final MemoryLog log = new MemoryLog(time, new MemoryLogLimits(300, RETENTION_MILLIS));
    private final SharedBoard board = new SharedBoard();
    private final ControlNode first = node("entry-1");
    private final ControlNode second = node("entry-2");

    /**
     * Two operators race on two instances: exactly one edit is accepted, both instances name the same one, and the loser
     * learns who won.
     */
    @Test
    void oneOfTwoRacingEditsIsAcceptedEverywhere() {
        startBoth();
        CompletionStage<ApplyResult> one = first.applyEdit(edit("e1", "meera", -1, 100));
        CompletionStage<ApplyResult> other = second.applyEdit(edit("e2", "joao", -1, 200));
        time.advanceMillis(1_000);
        assertEquals(new ApplyResult.Accepted("e1", 0), now(one));
        assertEquals(new ApplyResult.Rejected("e2", "e1", "meera", 0), now(other));
        assertEquals(first.catalogue().current(), second.catalogue().current());
        assertEquals(now(other), first.editStatus("e2"));
    }

    /**
     * The log takes an edit but its answer is lost: the operator still hears that it is accepted, because only reading
     * it back decides, and applying it again changes nothing.
     */
    @Test
    void aLostAnswerDoesNotLoseOrDoubleTheEdit() {
        startBoth();
        log.loseAnswers(1);
        CompletionStage<ApplyResult> answer = first.applyEdit(edit("e1", "meera", -1, 100));
        time.advanceMillis(1_000);
        assertEquals(new ApplyResult.Accepted("e1", 0), now(answer));
        assertEquals(now(answer), now(second.applyEdit(edit("e1", "meera", -1, 100))));
        assertEquals(1, log.appendCount());
    }

    /** The log does not answer: the operator hears "unknown yet" after ten seconds and the accepted outcome later. */
    @Test
    void anOutageMakesTheAnswerUnknownYet() {
        startBoth();
        log.setMode(MemoryLog.Mode.SILENT);
        CompletionStage<ApplyResult> answer = first.applyEdit(edit("e1", "meera", -1, 100));
        time.advanceMillis(11_000);
        assertTrue(now(answer) instanceof ApplyResult.UnknownYet);
        log.setMode(MemoryLog.Mode.UP);
        time.advanceMillis(1_000);
        CompletionStage<ApplyResult> again = first.applyEdit(edit("e1", "meera", -1, 100));
        time.advanceMillis(1_000);
        assertTrue(now(again) instanceof ApplyResult.Accepted);
    }

    /** Records expire long after the edit: a fresh instance still finds the catalogue, in a checkpoint. */
    @Test
    void aStartAfterExpiryUsesACheckpoint() {
        startBoth();
        first.applyEdit(edit("e1", "meera", -1, 100));
        time.advanceMillis(5 * RETENTION_MILLIS);
        ControlNode third = node("entry-3");
        third.start();
        time.advanceMillis(1_000);
        assertEquals(first.catalogue().current(), third.catalogue().current());
        assertTrue(third.history().stream().anyMatch(line -> line.id().equals("e1")));
    }

    /**
     * An instance starts while the log is out: it takes the newest catalogue of its peers. With no peers it stays without
     * one, which keeps it not-ready, and never serves an empty one.
     */
    @Test
    void aStartDuringAnOutageAsksPeersAndIsNeverEmpty() {
        startBoth();
        first.applyEdit(edit("e1", "meera", -1, 100));
        time.advanceMillis(1_000);
        log.setMode(MemoryLog.Mode.REFUSING);
        ControlNode third = node("entry-3");
        third.start();
        time.advanceMillis(1_000);
        assertEquals(Optional.empty(), third.catalogue().current());
        time.advanceMillis(30_000);
        assertEquals(first.catalogue().current(), third.catalogue().current());
        ControlNode alone = node("entry-4", new SharedBoard());
        alone.start();
        time.advanceMillis(60_000);
        assertEquals(Optional.empty(), alone.catalogue().current());
    }

    private void startBoth() {
        first.start();
        second.start();
        time.advanceMillis(1_000);
    }

    private ControlNode node(String name) {
        return node(name, board);
    }

    private ControlNode node(String name, PeerBus itsBoard) {
        ControlSettings settings = new ControlSettings(
                name, new FollowerSettings("control", 100, 1_000, 100, 1_000), 200, RETENTION_MILLIS / 4, 1_000, 2_000);
        return ControlSamples.node(settings, log, itsBoard, time);
    }

    private static EditRequest edit(String id, String author, long base, long deadlineMillis) {
        Catalogue wanted = SampleCatalogues.withDeadline(base, deadlineMillis);
        return new EditRequest(id, author, new CatalogueCodec().write(wanted));
    }

    private static ApplyResult now(CompletionStage<ApplyResult> answer) {
        return answer.toCompletableFuture().getNow(new ApplyResult.UnknownYet("", "still waiting"));
    }
}
