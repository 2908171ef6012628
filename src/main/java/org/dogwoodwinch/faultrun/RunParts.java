package org.dogwoodwinch.faultrun;

import java.util.List;
import org.dogwoodwinch.history.HistoryRecorder;
import org.dogwoodwinch.standin.http.StandInFleet;
import org.dogwoodwinch.time.TimeSource;

/**
 * The parts of a run that faults befall.
 *
 * @param daemons the daemons
 * @param fleet the stand-ins
 * @param engineNames the engines in the fleet's order
 * @param operator edits the catalogue
 * @param load sends requests
 * @param witness watches the daemons
 * @param leaving has engines leave
 * @param history takes the events
 * @param time gives the run's common time of day and runs the timers
 */
record RunParts(
        List<RunDaemon> daemons,
        StandInFleet fleet,
        List<String> engineNames,
        RunOperator operator,
        RunLoad load,
        InstanceWitness witness,
        RunLeaving leaving,
        HistoryRecorder history,
        TimeSource time) {

    /** Copies the lists. */
    RunParts {
        daemons = List.copyOf(daemons);
        engineNames = List.copyOf(engineNames);
    }
}
