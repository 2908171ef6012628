package org.dogwoodwinch.relay;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.Incarnation;

/**
 * Opens a connection to a target at which a call was lost, to find out at once whether the target has crashed. Confined
 * to one event loop.
 *
 * <p>Failure: a crash is only known by the next call to the target or when its entry expires. In a large fleet the next
 * call comes late, and a segment that crashes targets ends many of them within the seconds until an entry expires.
 */
final class CrashProbe {

    private final IsolationWatch.Prober prober;
    private final BooleanSupplier isIsolated;
    private final Consumer<String> onUnreachable;
    private final Set<String> probedIds = new HashSet<>();

    /**
     * Creates a probe.
     *
     * @param prober opens connections, not null
     * @param isIsolated returns whether this instance is cut off from all targets, which explains any loss, not null
     * @param onUnreachable receives the id of a target that takes no connection, not null
     */
    CrashProbe(IsolationWatch.Prober prober, BooleanSupplier isIsolated, Consumer<String> onUnreachable) {
        this.prober = Objects.requireNonNull(prober, "prober");
        this.isIsolated = Objects.requireNonNull(isIsolated, "isIsolated");
        this.onUnreachable = Objects.requireNonNull(onUnreachable, "onUnreachable");
    }

    /** Probes a target, unless that is under way already. A connection that is opened serves the next call. */
    void probe(Incarnation target) {
        if (isIsolated.getAsBoolean() || !probedIds.add(target.id())) {
            return;
        }
        boolean started = prober.probe(target, answered -> {
            probedIds.remove(target.id());
            if (!answered) {
                onUnreachable.accept(target.id());
            }
        });
        if (!started) {
            probedIds.remove(target.id());
        }
    }
}
