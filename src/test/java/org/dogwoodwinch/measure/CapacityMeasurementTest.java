package org.dogwoodwinch.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import org.dogwoodwinch.measure.capacity.CapacityFinding;
import org.dogwoodwinch.measure.capacity.CapacityRow;
import org.dogwoodwinch.measure.capacity.CapacityVerdict;
import org.junit.jupiter.api.Test;

class CapacityMeasurementTest {

    @Test
    void aFigureBeyondItsBudgetIsAMissedBoundAndOneNotMeasuredIsNoBound() {
        CapacityRow beyond = new CapacityRow(
                "peers", "bytes/s", "2 a member", "960", "7", CapacityVerdict.atMost(960, 7), "full mesh");
        CapacityRow missing = CapacityRow.notMeasured("peers", "CPU", "1.5%", "not written");
        MeasurementReport report = new CapacityMeasurement(
                        List.of(_quick -> new CapacityFinding(List.of(), List.of(beyond, missing))))
                .run(true);
        assertEquals(1, report.bounds().size());
        assertFalse(report.allBoundsHeld());
        assertEquals(
                "capacity: 0 figures within their budget at the target size, 1 beyond it, 1 not measured",
                report.headline());
    }
}
