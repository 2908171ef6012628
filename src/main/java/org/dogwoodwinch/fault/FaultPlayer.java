package org.dogwoodwinch.fault;

import java.util.Objects;
import java.util.function.Consumer;
import org.dogwoodwinch.time.TimeSource;

/** Plays a schedule on a time source and tells of each fault's begin and end, for the history of the run. */
public final class FaultPlayer {

    private final TimeSource time;
    private final FaultInjector injector;
    private final Consumer<Fault> onBegin;
    private final Consumer<Fault> onEnd;

    /**
     * Creates a player.
     *
     * @param time runs the timers, not null
     * @param injector brings the faults about, not null
     * @param onBegin hears of each fault just before it begins, not null
     * @param onEnd hears of each fault just after it ended, not null
     */
    public FaultPlayer(TimeSource time, FaultInjector injector, Consumer<Fault> onBegin, Consumer<Fault> onEnd) {
        this.time = Objects.requireNonNull(time, "time");
        this.injector = Objects.requireNonNull(injector, "injector");
        this.onBegin = Objects.requireNonNull(onBegin, "onBegin");
        this.onEnd = Objects.requireNonNull(onEnd, "onEnd");
    }

    /**
     * Schedules every fault of a schedule from now on.
     *
     * @param schedule the schedule, not null
     */
    public void play(FaultSchedule schedule) {
        schedule.faults().forEach(fault -> {
            time.schedule(fault.startMillis(), () -> begin(fault));
            time.schedule(fault.endMillis(), () -> end(fault));
        });
    }

    private void begin(Fault fault) {
        onBegin.accept(fault);
        injector.begin(fault);
    }

    private void end(Fault fault) {
        injector.end(fault);
        onEnd.accept(fault);
    }
}
