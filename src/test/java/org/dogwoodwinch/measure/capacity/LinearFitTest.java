package org.dogwoodwinch.measure.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class LinearFitTest {

    private static final double TOLERANCE = 1e-9;

    @Test
    void pointsOnALineGiveTheLine() {
        LinearFit fit = LinearFit.through(new double[] {6, 24, 96}, new double[] {13, 49, 193});
        assertEquals(2, fit.slope(), TOLERANCE);
        assertEquals(961, fit.at(480), TOLERANCE);
    }

    @Test
    void oneSizeGivesNoLine() {
        assertThrows(IllegalArgumentException.class, () -> LinearFit.through(new double[] {6, 6}, new double[] {1, 2}));
    }
}
