package org.dogwoodwinch.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dogwoodwinch.fault.FaultKind;

/** One life of an instance, from ready to its end, with the revisions that came into force in it. */
final class InstanceLife {

    private final FleetEvent.InstanceStarted started;
    private final List<CatalogueEvent.InForce> inForce = new ArrayList<>();
    private long endMillis = Long.MAX_VALUE;

    private InstanceLife(FleetEvent.InstanceStarted started) {
        this.started = started;
    }

    /** An instance may have its catalogue in force just before it says that it is ready, so that counts for its life. */
    static List<InstanceLife> of(History history) {
        List<InstanceLife> lives = new ArrayList<>();
        Map<String, InstanceLife> current = new HashMap<>();
        Map<String, CatalogueEvent.InForce> newest = new HashMap<>();
        for (HistoryEvent event : history.events()) {
            if (event instanceof FleetEvent.InstanceStarted start) {
                InstanceLife life = new InstanceLife(start);
                if (newest.containsKey(start.instance())) {
                    life.inForce.add(newest.get(start.instance()));
                }
                lives.add(life);
                current.put(start.instance(), life);
            } else if (event instanceof CatalogueEvent.InForce revision) {
                newest.put(revision.instance(), revision);
                if (current.containsKey(revision.instance())) {
                    current.get(revision.instance()).inForce.add(revision);
                }
            } else {
                end(event, current, newest);
            }
        }
        return lives;
    }

    private static void end(
            HistoryEvent event, Map<String, InstanceLife> current, Map<String, CatalogueEvent.InForce> newest) {
        String instance = null;
        if (event instanceof FleetEvent.InstanceEnded ended) {
            instance = ended.instance();
        } else if (event instanceof FleetEvent.PlannedStop stop) {
            instance = stop.instance();
        } else if (event instanceof FleetEvent.FaultBegan began && began.fault().kind() == FaultKind.KILL) {
            instance = began.fault().subject();
        }
        if (instance != null) {
            newest.remove(instance);
            InstanceLife life = current.remove(instance);
            if (life != null) {
                life.endMillis = event.atMillis();
            }
        }
    }

    String instance() {
        return started.instance();
    }

    FleetEvent.InstanceStarted started() {
        return started;
    }

    long endMillis() {
        return endMillis;
    }

    List<CatalogueEvent.InForce> inForce() {
        return inForce;
    }
}
