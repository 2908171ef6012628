package org.dogwoodwinch.request;

import java.util.List;
import org.dogwoodwinch.fault.FaultKind;
import org.dogwoodwinch.standin.MemoryLog;

/** One step of a {@link RequestSimulation}: it sends a few requests or injects a fault. */
record ScenarioStep(Kind kind, long afterMillis, int subjectIndex, int size) {

    enum Kind {
        ENGINE_REQUESTS,
        SERVICE_REQUESTS,
        KILL_INSTANCE,
        PAUSE_INSTANCE,
        DISCONNECT_FROM_LOG,
        DISCONNECT_FROM_ENGINE,
        BREAK_CONNECTIONS,
        LOSE_SENDS,
        LOSE_ANSWERS,
        UNRELIABLE_DELIVERY,
        ENGINE_CRASH,
        LOG_OUTAGE,
        LOG_ANSWERS_LOST
    }

    void apply(RequestSimulation simulation, int number) {
        SimulatedInstance instance = simulation.instances.get(subjectIndex % RequestSimulation.INSTANCES);
        String engine = "engine-" + subjectIndex % RequestSimulation.ENGINES;
        long millis = 200L * (size + 1) * (size + 1);
        switch (kind) {
            case ENGINE_REQUESTS -> sendRequests(simulation, number, false);
            case SERVICE_REQUESTS -> sendRequests(simulation, number, true);
            case KILL_INSTANCE -> {
                simulation.recordFault(FaultKind.KILL, instance.name(), 2_000);
                instance.kill();
            }
            case PAUSE_INSTANCE -> {
                simulation.recordFault(FaultKind.PAUSE, instance.name(), millis);
                instance.pause(millis);
            }
            case DISCONNECT_FROM_LOG -> instance.disconnectLog(millis, subjectIndex % 2 == 0);
            case DISCONNECT_FROM_ENGINE -> instance.disconnectEngine(engine, millis);
            case BREAK_CONNECTIONS -> instance.breakConnections();
            case LOSE_SENDS -> instance.loseSends(1 + size / 3);
            case LOSE_ANSWERS -> instance.loseAnswers(1 + size / 3);
            case UNRELIABLE_DELIVERY -> instance.makeDeliveryUnreliable(millis);
            case ENGINE_CRASH -> simulation.engines.get(engine).crash();
            case LOG_OUTAGE -> {
                simulation.memoryLog.setMode(size % 2 == 0 ? MemoryLog.Mode.REFUSING : MemoryLog.Mode.SILENT);
                simulation.time.schedule(millis, () -> simulation.memoryLog.setMode(MemoryLog.Mode.UP));
            }
            case LOG_ANSWERS_LOST -> simulation.memoryLog.loseAnswers(1 + size / 3);
        }
    }

    private void sendRequests(RequestSimulation simulation, int number, boolean service) {
        String prefix = (service ? "s" : "e") + number + "-";
        for (int i = 0; i <= size / 2; i++) {
            simulation.submitRequest(prefix + "keyed-" + i, service, false, true);
            simulation.submitRequest(prefix + "unkeyed-" + i, service, false, false);
            simulation.submitRequest(prefix + "repeatable-" + i, service, true, false);
        }
    }

    static List<Kind> requestKinds() {
        return List.of(Kind.ENGINE_REQUESTS, Kind.SERVICE_REQUESTS);
    }
}
