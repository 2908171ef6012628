package org.dogwoodwinch.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class StoreAvailabilityTest {

    private static final long MAX_CONTACT_GAP_MILLIS = 1_000;

    private final StoreAvailability availability = new StoreAvailability(MAX_CONTACT_GAP_MILLIS, 0);

    @Test
    void regularContactsAreNoReturn() {
        availability.recordContact(1_000);
        availability.recordContact(2_000);

        assertEquals(StreamCoverage.UNKNOWN_MILLIS, availability.returnedMillis());
    }

    @Test
    void firstContactAfterGapIsReturn() {
        availability.recordContact(500);
        availability.recordContact(1_501);
        availability.recordContact(1_600);

        assertEquals(1_501, availability.returnedMillis());
    }

    /** Guards against a late message with an old contact that hides or feigns a gap. */
    @Test
    void earlierContactChangesNothing() {
        availability.recordContact(900);
        availability.recordContact(100);
        availability.recordContact(1_900);

        assertEquals(StreamCoverage.UNKNOWN_MILLIS, availability.returnedMillis());
    }

    /** Guards against lapsed entries of which an instance learns only by messages whose way it cannot measure. */
    @Test
    void contactOfUnknownAgeAfterGapIsReturnButEndsNoGap() {
        availability.recordContact(500);
        availability.recordContactOfUnknownAge(1_400);
        assertEquals(StreamCoverage.UNKNOWN_MILLIS, availability.returnedMillis());

        availability.recordContactOfUnknownAge(1_700);
        assertEquals(1_700, availability.returnedMillis());

        availability.recordContact(1_750);
        assertEquals(1_750, availability.returnedMillis());
    }

    /** Guards against an instance that starts in an outage and takes lapsed entries for removed targets. */
    @Test
    void firstContactLongAfterStartIsReturn() {
        availability.recordContact(3_000);

        assertEquals(3_000, availability.returnedMillis());
    }
}
