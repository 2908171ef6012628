package org.dogwoodwinch.daemon;

import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.dogwoodwinch.platform.ListedInstance;
import org.dogwoodwinch.routing.Route;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.routing.Router;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.Usage;

/** Chooses the listed target that was sent the least; for measurements of the path alone. Thread-safe. */
final class LeastSentRouter implements Router {

    private static final long RETRY_MILLIS = 1_000;

    private final TargetDirectory directory;
    private final Map<String, AtomicLong> sent = new ConcurrentHashMap<>();

    /**
     * Creates a router.
     *
     * @param directory knows the targets, not null
     */
    LeastSentRouter(TargetDirectory directory) {
        this.directory = Objects.requireNonNull(directory, "directory");
    }

    @Override
    public Route route(RouteQuery query) {
        return directory.latest().stream()
                .filter(line -> line.kind() != ListedInstance.Kind.ENTRY && !line.leaving())
                .filter(line -> line.group().equals(query.group()))
                .filter(line -> !query.excludedTargets().contains(line.name()))
                .min(Comparator.comparingLong(line -> sentTo(line.name()).get()))
                .map(TargetDirectory::toTarget)
                .<Route>map(target -> new Route.Chosen(target, Optional.empty(), 0))
                .orElseGet(() -> new Route.None("no target serves the entry", RETRY_MILLIS));
    }

    @Override
    public void onSent(String _attemptId, Target target, RouteQuery _query) {
        sentTo(target.name()).incrementAndGet();
    }

    @Override
    public void onFirstToken(String _attemptId, long _elapsedMillis) {}

    @Override
    public void onCompleted(String _attemptId, Usage _usage) {}

    @Override
    public void onFailed(String _attemptId, TargetFailure _failure) {}

    @Override
    public void onCancelled(String _attemptId) {}

    private AtomicLong sentTo(String name) {
        return sent.computeIfAbsent(name, _name -> new AtomicLong());
    }
}
