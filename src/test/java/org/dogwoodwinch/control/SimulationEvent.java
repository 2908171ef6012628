package org.dogwoodwinch.control;

import org.dogwoodwinch.authority.PlannedChange;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueCodec;
import org.dogwoodwinch.catalogue.SampleCatalogues;
import org.dogwoodwinch.standin.MemoryLog;
import org.dogwoodwinch.target.EngineRole;

/**
 * One event of a generated schedule: a request of an operator or a fault.
 *
 * @param kind the kind of event
 * @param afterMillis the delay after the previous event, in milliseconds
 * @param instance the index of the instance that is affected or that receives the request
 * @param magnitude a number from 0 to 9 that determines the details of the event, such as its duration
 */
record SimulationEvent(Kind kind, long afterMillis, int instance, int magnitude) {

    private static final long UNIT_MILLIS = 1_000;

    /** The kinds of events: operators' requests and faults. */
    enum Kind {
        EDIT,
        RACING_EDITS,
        ROLE_CHANGE,
        MODEL_LOAD,
        KILL,
        PAUSE,
        CUT_OFF,
        LOG_REFUSES,
        LOG_SILENT,
        LOSE_ANSWERS,
        DUPLICATE,
        SLOW_APPENDS,
        SLOW_ORDERS,
        ENGINE_CRASH,
        WALL_JUMP
    }

    /**
     * Applies the event to a simulation. Orders to engines that ignore fencing tokens are delayed by less than their
     * time-out, because only for such delays is the order of execution guaranteed.
     */
    void applyTo(ControlSimulation simulation, int number) {
        int index = instance % simulation.instanceCount();
        ControlSimulation.Instance affected = simulation.instance(index);
        long durationMillis = (magnitude + 1) * UNIT_MILLIS;
        switch (kind) {
            case EDIT -> edit(simulation, affected, "e" + number, number);
            case RACING_EDITS -> {
                edit(simulation, affected, "a" + number, number);
                edit(simulation, simulation.instance((index + 1) % simulation.instanceCount()), "b" + number, number);
            }
            case ROLE_CHANGE -> plan(affected, number, PlannedChange.changeRole(engineName(), newRole()));
            case MODEL_LOAD ->
                plan(
                        affected,
                        number,
                        new PlannedChange(
                                PlannedChange.Kind.LOAD_MODEL, engineName(), "", null, "m", "v" + magnitude, "", ""));
            case KILL -> simulation.restart(index);
            case PAUSE -> {
                affected.clock.pause();
                simulation.time.schedule(durationMillis, affected.clock::resume);
            }
            case CUT_OFF -> {
                affected.network.setPartitioned(true);
                simulation.time.schedule(durationMillis, () -> affected.network.setPartitioned(false));
            }
            case LOG_REFUSES -> setLogModeFor(simulation, MemoryLog.Mode.REFUSING, durationMillis);
            case LOG_SILENT -> setLogModeFor(simulation, MemoryLog.Mode.SILENT, durationMillis);
            case LOSE_ANSWERS -> simulation.log.loseAnswers(magnitude);
            case DUPLICATE -> affected.network.duplicateAppends(magnitude);
            case SLOW_APPENDS -> {
                affected.network.setAppendDelayMillis(durationMillis);
                simulation.time.schedule(durationMillis, () -> affected.network.setAppendDelayMillis(0));
            }
            case SLOW_ORDERS -> affected.network.setOrderDelays(3 * durationMillis, magnitude * 50L);
            case ENGINE_CRASH -> simulation.engines.get(engineName()).crash();
            case WALL_JUMP -> simulation.time.jumpWallMillis((magnitude - 5) * 3_600_000L);
        }
    }

    private EngineRole newRole() {
        return switch (magnitude % 3) {
            case 0 -> EngineRole.PREFILL;
            case 1 -> EngineRole.DECODE;
            default -> EngineRole.MIXED;
        };
    }

    /** Returns mostly the same engine of each group, so that changes coincide on it. */
    private String engineName() {
        return (magnitude % 2 == 0 ? "checking-" : "ignoring-") + (instance == 0 ? 2 : 1);
    }

    private static void edit(ControlSimulation simulation, ControlSimulation.Instance affected, String id, int number) {
        Catalogue base = simulation.referenceState().catalogueState().catalogue();
        Catalogue wanted = SampleCatalogues.withDeadline(base.revision(), number + 1);
        affected.clock.runOrDefer(
                () -> affected.node.applyEdit(new EditRequest(id, "meera", new CatalogueCodec().write(wanted))));
    }

    private static void plan(ControlSimulation.Instance affected, int number, PlannedChange change) {
        affected.clock.runOrDefer(() -> affected.node.requestPlan(new PlanRequest("p" + number, "meera", change)));
    }

    private static void setLogModeFor(ControlSimulation simulation, MemoryLog.Mode mode, long durationMillis) {
        simulation.log.setMode(mode);
        simulation.time.schedule(durationMillis, () -> simulation.log.setMode(MemoryLog.Mode.UP));
    }
}
