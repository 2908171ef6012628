package org.dogwoodwinch.request;

import java.util.List;
import org.dogwoodwinch.fault.FaultKind;
import org.dogwoodwinch.standin.MemoryLog;

/** One thing that happens in a {@link RequestWorld}: a few requests, or a failure. */
record RequestDisturbance(Kind kind, long afterMillis, int subject, int size) {

    enum Kind {
        ENGINE_REQUESTS,
        SERVICE_REQUESTS,
        KILL,
        PAUSE,
        CUT_FROM_LOG,
        CUT_FROM_ENGINE,
        BREAK_CONNECTIONS,
        LOSE_SENDS,
        LOSE_ANSWERS,
        MESSY_DELIVERY,
        ENGINE_CRASH,
        LOG_OUTAGE,
        LOG_ANSWERS_LOST
    }

    void happen(RequestWorld world, int number) {
        WorldInstance instance = world.instances.get(subject % RequestWorld.INSTANCES);
        String engine = "engine-" + subject % RequestWorld.ENGINES;
        long millis = 200L * (size + 1) * (size + 1);
        switch (kind) {
            case ENGINE_REQUESTS -> requests(world, number, false);
            case SERVICE_REQUESTS -> requests(world, number, true);
            case KILL -> {
                world.began(FaultKind.KILL, instance.name(), 2_000);
                instance.kill();
            }
            case PAUSE -> {
                world.began(FaultKind.PAUSE, instance.name(), millis);
                instance.pause(millis);
            }
            case CUT_FROM_LOG -> instance.cutLog(millis, subject % 2 == 0);
            case CUT_FROM_ENGINE -> instance.cutEngine(engine, millis);
            case BREAK_CONNECTIONS -> instance.breakConnections();
            case LOSE_SENDS -> instance.loseSends(1 + size / 3);
            case LOSE_ANSWERS -> instance.loseAnswers(1 + size / 3);
            case MESSY_DELIVERY -> instance.makeMessy(millis);
            case ENGINE_CRASH -> world.engines.get(engine).crash();
            case LOG_OUTAGE -> {
                world.memoryLog.setMode(size % 2 == 0 ? MemoryLog.Mode.REFUSING : MemoryLog.Mode.SILENT);
                world.time.schedule(millis, () -> world.memoryLog.setMode(MemoryLog.Mode.UP));
            }
            case LOG_ANSWERS_LOST -> world.memoryLog.loseAnswers(1 + size / 3);
        }
    }

    private void requests(RequestWorld world, int number, boolean service) {
        String prefix = (service ? "s" : "e") + number + "-";
        for (int i = 0; i <= size / 2; i++) {
            world.request(prefix + "keyed-" + i, service, false, true);
            world.request(prefix + "unkeyed-" + i, service, false, false);
            world.request(prefix + "repeatable-" + i, service, true, false);
        }
    }

    static List<Kind> requestKinds() {
        return List.of(Kind.ENGINE_REQUESTS, Kind.SERVICE_REQUESTS);
    }
}
