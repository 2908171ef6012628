package org.dogwoodwinch.daemon;

import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;

/** The clock and timers of one process, whose tasks end with it, and wait while it is suspended. */
final class SoakProcessTime implements TimeSource {

    private final SimulatedFleet.Member member;
    private boolean isEnded;

    SoakProcessTime(SimulatedFleet.Member member) {
        this.member = member;
    }

    void end() {
        isEnded = true;
    }

    @Override
    public long monotonicNanos() {
        return member.time().monotonicNanos();
    }

    @Override
    public long wallMillis() {
        return member.time().wallMillis();
    }

    @Override
    public Cancellable schedule(long delayMillis, Runnable task) {
        boolean[] isCancelled = new boolean[1];
        Cancellable timer = member.time()
                .schedule(
                        delayMillis,
                        () -> member.runUnlessPaused(() -> {
                            if (!isEnded && !isCancelled[0]) {
                                task.run();
                            }
                        }));
        return () -> {
            isCancelled[0] = true;
            timer.cancel();
        };
    }
}
