package org.dogwoodwinch.follow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class LastAppendTest {

    private final LastAppend last = new LastAppend();

    @Test
    void acknowledgementOfLastRecordIsNotThatOfNext() {
        assertTrue(last.mayBeFollowedBy(new ConditionalLog.Written(5)));
        assertTrue(last.record(new ConditionalLog.Written(5)));

        assertFalse(last.mayBeFollowedBy(new ConditionalLog.Written(5)));
        assertTrue(last.mayBeFollowedBy(new ConditionalLog.Written(6)));
    }

    @Test
    void unconfirmedRecordIsNotLastOne() {
        assertFalse(last.record(new ConditionalLog.Unknown("timeout")));
        assertFalse(last.record(new ConditionalLog.EndOffsetMismatch(5)));

        assertTrue(last.mayBeFollowedBy(new ConditionalLog.Written(5)));
    }
}
