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
    private final InMemoryPeerBoard board = new InMemoryPeerBoard();
    private final ControlNode first = node("entry-1");
    private final ControlNode second = node("entry-2");

    /** Two concurrent edits on two instances: exactly one is accepted, and both instances name the same one. */
    @Test
    void concurrentEditsHaveOneWinnerOnAllInstances() {
        startBothNodes();
        CompletionStage<ApplyResult> firstAnswer = first.applyEdit(edit("e1", "meera", -1, 100));
        CompletionStage<ApplyResult> secondAnswer = second.applyEdit(edit("e2", "joao", -1, 200));
        time.advanceMillis(1_000);
        assertEquals(new ApplyResult.Accepted("e1", 0), resultOf(firstAnswer));
        assertEquals(new ApplyResult.Rejected("e2", "e1", "meera", 0), resultOf(secondAnswer));
        assertEquals(first.catalogue().current(), second.catalogue().current());
        assertEquals(resultOf(secondAnswer), first.editStatus("e2"));
    }

    /** An edit whose append answer is lost is accepted once read back, and applying it again has no effect. */
    @Test
    void lostAppendAnswerNeitherLosesNorRepeatsEdit() {
        startBothNodes();
        log.loseAnswers(1);
        CompletionStage<ApplyResult> answer = first.applyEdit(edit("e1", "meera", -1, 100));
        time.advanceMillis(1_000);
        assertEquals(new ApplyResult.Accepted("e1", 0), resultOf(answer));
        assertEquals(resultOf(answer), resultOf(second.applyEdit(edit("e1", "meera", -1, 100))));
        assertEquals(1, log.appendCount());
    }

    /** During a log outage, an edit completes as unknown yet within ten seconds; it is accepted after the outage. */
    @Test
    void logOutageGivesUnknownYet() {
        startBothNodes();
        log.setMode(MemoryLog.Mode.SILENT);
        CompletionStage<ApplyResult> answer = first.applyEdit(edit("e1", "meera", -1, 100));
        time.advanceMillis(11_000);
        assertTrue(resultOf(answer) instanceof ApplyResult.UnknownYet);
        log.setMode(MemoryLog.Mode.UP);
        time.advanceMillis(1_000);
        CompletionStage<ApplyResult> again = first.applyEdit(edit("e1", "meera", -1, 100));
        time.advanceMillis(1_000);
        assertTrue(resultOf(again) instanceof ApplyResult.Accepted);
    }

    /** A newly started instance restores the catalogue from a checkpoint after the record of the edit has expired. */
    @Test
    void startAfterExpiryLoadsCheckpoint() {
        startBothNodes();
        first.applyEdit(edit("e1", "meera", -1, 100));
        time.advanceMillis(5 * RETENTION_MILLIS);
        ControlNode third = node("entry-3");
        third.start();
        time.advanceMillis(1_000);
        assertEquals(first.catalogue().current(), third.catalogue().current());
        assertTrue(
                third.history().stream().anyMatch(editRecord -> editRecord.id().equals("e1")));
    }

    /** Guards against an instance that starts without log and peers and serves an empty catalogue when not ready. */
    @Test
    void startDuringOutageTakesPeerCatalogueAndNeverAnEmptyOne() {
        startBothNodes();
        first.applyEdit(edit("e1", "meera", -1, 100));
        time.advanceMillis(1_000);
        log.setMode(MemoryLog.Mode.REFUSING);
        ControlNode third = node("entry-3");
        third.start();
        time.advanceMillis(1_000);
        assertEquals(Optional.empty(), third.catalogue().current());
        time.advanceMillis(30_000);
        assertEquals(first.catalogue().current(), third.catalogue().current());
        ControlNode isolated = node("entry-4", new InMemoryPeerBoard());
        isolated.start();
        time.advanceMillis(60_000);
        assertEquals(Optional.empty(), isolated.catalogue().current());
    }

    private void startBothNodes() {
        first.start();
        second.start();
        time.advanceMillis(1_000);
    }

    private ControlNode node(String name) {
        return node(name, board);
    }

    private ControlNode node(String name, PeerBus peerBoard) {
        ControlSettings settings = new ControlSettings(
                name, new FollowerSettings("control", 100, 1_000, 100, 1_000), 200, RETENTION_MILLIS / 4, 1_000, 2_000);
        return ControlNodeFixtures.node(settings, log, peerBoard, time);
    }

    private static EditRequest edit(String id, String author, long base, long deadlineMillis) {
        Catalogue wanted = SampleCatalogues.withDeadline(base, deadlineMillis);
        return new EditRequest(id, author, new CatalogueCodec().write(wanted));
    }

    private static ApplyResult resultOf(CompletionStage<ApplyResult> answer) {
        return answer.toCompletableFuture().getNow(new ApplyResult.UnknownYet("", "still pending"));
    }
}
