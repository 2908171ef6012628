package org.dogwoodwinch.history;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwinch.fault.Fault;
import org.dogwoodwinch.fault.FaultKind;

/** When which fault lasted, for what a fault excuses: a caller's connection to a killed instance breaks. */
final class FaultWindows {

    private static final Set<FaultKind> INSTANCE_UNREACHABLE =
            EnumSet.of(FaultKind.KILL, FaultKind.PAUSE, FaultKind.CUT_OFF);
    private static final Set<FaultKind> LOG_UNREACHABLE = EnumSet.of(FaultKind.LOG_OUTAGE, FaultKind.LOG_SLOW);

    private final List<Window> windows = new ArrayList<>();

    FaultWindows(History history) {
        history.of(FleetEvent.class).forEach(this::add);
    }

    private void add(FleetEvent event) {
        if (event instanceof FleetEvent.FaultBegan began) {
            windows.add(new Window(began.fault(), began.atMillis(), Long.MAX_VALUE));
        } else if (event instanceof FleetEvent.FaultEnded ended) {
            for (int i = 0; i < windows.size(); i++) {
                Window window = windows.get(i);
                if (window.fault().equals(ended.fault()) && window.toMillis() == Long.MAX_VALUE) {
                    windows.set(i, new Window(window.fault(), window.fromMillis(), ended.atMillis()));
                    return;
                }
            }
        }
    }

    /** Says whether a fault on an instance, within the times given, explains that its callers got no end. */
    boolean explainsLostCall(String instance, long fromMillis, long toMillis) {
        return windows.stream()
                .anyMatch(window -> befallsInstance(window, instance)
                        && window.fromMillis() <= toMillis
                        && window.toMillis() >= fromMillis);
    }

    /**
     * Returns when an instance has had a given time in which no fault kept it from the log.
     *
     * @return milliseconds, {@link Long#MAX_VALUE} where a fault never ends
     */
    long afterReachableMillis(String instance, long fromMillis, long wantedMillis) {
        long cursor = fromMillis;
        long left = wantedMillis;
        while (true) {
            long now = cursor;
            Optional<Window> covering = windows.stream()
                    .filter(window ->
                            keepsFromLog(window, instance) && window.fromMillis() <= now && window.toMillis() > now)
                    .findFirst();
            if (covering.isPresent()) {
                cursor = covering.get().toMillis();
                if (cursor == Long.MAX_VALUE) {
                    return cursor;
                }
                continue;
            }
            long nextFault = windows.stream()
                    .filter(window -> keepsFromLog(window, instance) && window.fromMillis() > now)
                    .mapToLong(Window::fromMillis)
                    .min()
                    .orElse(Long.MAX_VALUE);
            if (nextFault - cursor >= left) {
                return cursor + left;
            }
            left -= nextFault - cursor;
            cursor = nextFault;
        }
    }

    private static boolean keepsFromLog(Window window, String instance) {
        return LOG_UNREACHABLE.contains(window.fault().kind()) || befallsInstance(window, instance);
    }

    private static boolean befallsInstance(Window window, String instance) {
        return INSTANCE_UNREACHABLE.contains(window.fault().kind())
                && window.fault().subject().equals(instance);
    }

    private record Window(Fault fault, long fromMillis, long toMillis) {}
}
