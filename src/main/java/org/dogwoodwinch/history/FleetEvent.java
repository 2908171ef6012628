package org.dogwoodwinch.history;

import java.util.Objects;
import org.dogwoodwinch.fault.Fault;

/** What happened to instances and targets, and which faults a run brought about. */
public sealed interface FleetEvent extends HistoryEvent {

    /**
     * The first sign that a target is leaving: in the instance list, or in its own refusal.
     *
     * @param atMillis when, in milliseconds
     * @param target the target, not null
     */
    record TargetLeaving(long atMillis, String target) implements FleetEvent {

        /** Checks the parts. */
        public TargetLeaving {
            Objects.requireNonNull(target, "target");
        }
    }

    /**
     * A target that was leaving may have work again.
     *
     * @param atMillis when, in milliseconds
     * @param target the target, not null
     */
    record TargetBack(long atMillis, String target) implements FleetEvent {

        /** Checks the parts. */
        public TargetBack {
            Objects.requireNonNull(target, "target");
        }
    }

    /**
     * An instance of ours is ready.
     *
     * @param atMillis when, in milliseconds
     * @param instance the instance, not null
     */
    record InstanceStarted(long atMillis, String instance) implements FleetEvent {

        /** Checks the parts. */
        public InstanceStarted {
            Objects.requireNonNull(instance, "instance");
        }
    }

    /**
     * An instance of ours was told to stop.
     *
     * @param atMillis when, in milliseconds
     * @param instance the instance, not null
     */
    record PlannedStop(long atMillis, String instance) implements FleetEvent {

        /** Checks the parts. */
        public PlannedStop {
            Objects.requireNonNull(instance, "instance");
        }
    }

    /**
     * An instance of ours is gone, by a planned stop or by a fault.
     *
     * @param atMillis when, in milliseconds
     * @param instance the instance, not null
     */
    record InstanceEnded(long atMillis, String instance) implements FleetEvent {

        /** Checks the parts. */
        public InstanceEnded {
            Objects.requireNonNull(instance, "instance");
        }
    }

    /**
     * A fault of the run's schedule began.
     *
     * @param atMillis when, in milliseconds
     * @param fault the fault, not null
     */
    record FaultBegan(long atMillis, Fault fault) implements FleetEvent {

        /** Checks the parts. */
        public FaultBegan {
            Objects.requireNonNull(fault, "fault");
        }
    }

    /**
     * A fault of the run's schedule ended.
     *
     * @param atMillis when, in milliseconds
     * @param fault the fault, not null
     */
    record FaultEnded(long atMillis, Fault fault) implements FleetEvent {

        /** Checks the parts. */
        public FaultEnded {
            Objects.requireNonNull(fault, "fault");
        }
    }
}
