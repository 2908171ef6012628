package org.dogwoodwinch.control;

import org.dogwoodwinch.authority.PlannedChange;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueCodec;
import org.dogwoodwinch.catalogue.SampleCatalogues;
import org.dogwoodwinch.standin.MemoryLog;
import org.dogwoodwinch.target.EngineRole;

/**
 * One thing that happens in a generated schedule.
 *
 * @param kind what
 * @param afterMillis how long after the one before it
 * @param instance to which instance, or by way of which
 * @param amount a number from 0 to 9 that shapes it
 */
record Disturbance(Kind kind, long afterMillis, int instance, int amount) {

    private static final long UNIT_MILLIS = 1_000;

    /** What can happen: operators' work and everything that fails. */
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

    /** Makes it happen. Orders to engines that ignore tokens are delayed by less than their time-out, as promised. */
    void happen(ControlWorld world, int number) {
        int index = instance % world.size();
        ControlWorld.Instance one = world.instance(index);
        long forMillis = (amount + 1) * UNIT_MILLIS;
        switch (kind) {
            case EDIT -> edit(world, one, "e" + number, number);
            case RACING_EDITS -> {
                edit(world, one, "a" + number, number);
                edit(world, world.instance((index + 1) % world.size()), "b" + number, number);
            }
            case ROLE_CHANGE -> plan(one, number, PlannedChange.changeRole(engine(), role()));
            case MODEL_LOAD ->
                plan(
                        one,
                        number,
                        new PlannedChange(
                                PlannedChange.Kind.LOAD_MODEL, engine(), "", null, "m", "v" + amount, "", ""));
            case KILL -> world.restart(index);
            case PAUSE -> {
                one.clock.pause();
                world.time.schedule(forMillis, one.clock::resume);
            }
            case CUT_OFF -> {
                one.network.setCut(true);
                world.time.schedule(forMillis, () -> one.network.setCut(false));
            }
            case LOG_REFUSES -> logMode(world, MemoryLog.Mode.REFUSING, forMillis);
            case LOG_SILENT -> logMode(world, MemoryLog.Mode.SILENT, forMillis);
            case LOSE_ANSWERS -> world.log.loseAnswers(amount);
            case DUPLICATE -> one.network.duplicateAppends(amount);
            case SLOW_APPENDS -> {
                one.network.setAppendDelayMillis(forMillis);
                world.time.schedule(forMillis, () -> one.network.setAppendDelayMillis(0));
            }
            case SLOW_ORDERS -> one.network.setOrderDelays(3 * forMillis, amount * 50L);
            case ENGINE_CRASH -> world.engines.get(engine()).crash();
            case WALL_JUMP -> world.time.jumpWallMillis((amount - 5) * 3_600_000L);
        }
    }

    private EngineRole role() {
        return switch (amount % 3) {
            case 0 -> EngineRole.PREFILL;
            case 1 -> EngineRole.DECODE;
            default -> EngineRole.MIXED;
        };
    }

    /** Mostly one engine of each group, so that changes meet on it. */
    private String engine() {
        return (amount % 2 == 0 ? "checking-" : "ignoring-") + (instance == 0 ? 2 : 1);
    }

    private static void edit(ControlWorld world, ControlWorld.Instance one, String id, int number) {
        Catalogue base = world.truth().catalogue().catalogue();
        Catalogue wanted = SampleCatalogues.withDeadline(base.revision(), number + 1);
        one.clock.deliver(() -> one.node.applyEdit(new EditRequest(id, "meera", new CatalogueCodec().write(wanted))));
    }

    private static void plan(ControlWorld.Instance one, int number, PlannedChange change) {
        one.clock.deliver(() -> one.node.requestPlan(new PlanRequest("p" + number, "meera", change)));
    }

    private static void logMode(ControlWorld world, MemoryLog.Mode mode, long forMillis) {
        world.log.setMode(mode);
        world.time.schedule(forMillis, () -> world.log.setMode(MemoryLog.Mode.UP));
    }
}
