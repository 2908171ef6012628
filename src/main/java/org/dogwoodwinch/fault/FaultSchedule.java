package org.dogwoodwinch.fault;

import java.util.Comparator;
import java.util.List;

/**
 * The faults of one run, in order of their start.
 *
 * @param seed the seed that made it, printed with a failure so that the run can be repeated
 * @param faults the faults, not null
 */
public record FaultSchedule(long seed, List<Fault> faults) {

    /** Sorts and copies the list. */
    public FaultSchedule {
        faults = faults.stream()
                .sorted(Comparator.comparingLong(Fault::startMillis))
                .toList();
    }

    /**
     * Returns when the last fault ends.
     *
     * @return milliseconds from the start of the schedule; zero where there is no fault
     */
    public long endMillis() {
        return faults.stream().mapToLong(Fault::endMillis).max().orElse(0);
    }
}
