package org.dogwoodwinch.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class SuspectBookTest {

    private static final long GUILTY = 1;
    private static final long INNOCENT = 2;

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final List<SuspicionNotice> notices = new ArrayList<>();
    private final SuspectBook book = new SuspectBook(time, 600_000, 3_600_000, notices::add);

    /**
     * Two requests share a crash. Each is tried alone: the one that completes is cleared, the one that crashes its target
     * again is refused from then on.
     */
    @Test
    void tellsTheGuiltyFromTheInnocent() {
        book.onCrash(GUILTY, "a", "engine-0");
        book.onCrash(INNOCENT, "b", "engine-0");
        assertEquals(Quarantine.Standing.SUSPECT, book.standing(INNOCENT));
        book.onTrial(GUILTY, "c", "engine-1");
        book.onTrial(INNOCENT, "d", "engine-2");
        book.onEnded(INNOCENT, "d", true);
        book.onCrash(GUILTY, "c", "engine-1");
        assertEquals(Quarantine.Standing.CLEAR, book.standing(INNOCENT));
        assertEquals(Quarantine.Standing.QUARANTINED, book.standing(GUILTY));
        assertTrue(book.trialTargets().isEmpty());
    }

    /** Two suspects, of two instances, run on one target when it crashes: neither is proved guilty. */
    @Test
    void aSharedTrialProvesNothing() {
        book.onCrash(INNOCENT, "a", "engine-0");
        book.onTrial(INNOCENT, "b", "engine-1");
        book.onPeerNotice(new SuspicionNotice(SuspicionNotice.Kind.TRIAL, GUILTY, "engine-1", 60_000), 100);
        book.onCrash(INNOCENT, "b", "engine-1");
        assertEquals(Quarantine.Standing.REPEATED_SUSPECT, book.standing(INNOCENT));
    }

    /** An operator lifts a quarantine; an older word of a peer that comes late must not bring it back. */
    @Test
    void aLiftHoldsAgainstOlderNews() {
        time.advanceMillis(10_000);
        book.onPeerNotice(new SuspicionNotice(SuspicionNotice.Kind.QUARANTINED, GUILTY, "engine-1", 60_000), 0);
        assertEquals(1, book.list().size());
        assertTrue(book.lift(GUILTY));
        book.onPeerNotice(new SuspicionNotice(SuspicionNotice.Kind.QUARANTINED, GUILTY, "engine-1", 60_000), 500);
        assertEquals(Quarantine.Standing.CLEAR, book.standing(GUILTY));
        time.advanceMillis(1_000);
        book.onPeerNotice(new SuspicionNotice(SuspicionNotice.Kind.QUARANTINED, GUILTY, "engine-1", 60_000), 0);
        assertEquals(Quarantine.Standing.QUARANTINED, book.standing(GUILTY));
    }

    @Test
    void suspicionExpires() {
        book.onCrash(GUILTY, "a", "engine-0");
        time.advanceMillis(600_001);
        assertEquals(Quarantine.Standing.CLEAR, book.standing(GUILTY));
    }
}
