package org.dogwoodwinch.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class StreamCoverageTest {

    private final StreamCoverage coverage = new StreamCoverage();

    @Test
    void recordsAreCoveredOnceTheyAreDelivered() {
        coverage.recordEnd(5, 100);
        assertEquals(StreamCoverage.UNKNOWN_MILLIS, coverage.coveredMillis());

        coverage.recordDelivered(4);
        assertEquals(StreamCoverage.UNKNOWN_MILLIS, coverage.coveredMillis());

        coverage.recordDelivered(5);
        assertEquals(100, coverage.coveredMillis());
    }

    @Test
    void unchangedEndCoversLaterMoment() {
        coverage.recordDelivered(5);
        coverage.recordEnd(5, 100);
        coverage.recordEnd(5, 300);

        assertEquals(300, coverage.coveredMillis());
    }

    /** Guards against a late message with an earlier end that makes known records pass for delivered. */
    @Test
    void earlierEndNeitherCoversNorReplacesLaterOne() {
        coverage.recordDelivered(5);
        coverage.recordEnd(9, 300);
        coverage.recordEnd(7, 200);
        coverage.recordDelivered(8);
        assertEquals(StreamCoverage.UNKNOWN_MILLIS, coverage.coveredMillis());

        coverage.recordDelivered(9);
        assertEquals(300, coverage.coveredMillis());
    }
}
