package org.dogwoodwinch.daemon;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * The stop of a daemon, which a signal may ask for at any time from before its start.
 *
 * <p>Failure: a signal that arrives while the daemon starts, before its handler is installed, ends the process with the
 * calls that it has read since its listener was bound.
 */
final class AwaitedStop {

    private final Supplier<CompletionStage<Integer>> stop;
    private final CompletableFuture<Void> started = new CompletableFuture<>();
    private final CompletableFuture<Integer> unfinishedCount = new CompletableFuture<>();

    /**
     * Creates a stop that nothing has asked for.
     *
     * @param stop stops a started daemon, and completes with the number of calls that did not finish, not null
     */
    AwaitedStop(Supplier<CompletionStage<Integer>> stop) {
        this.stop = Objects.requireNonNull(stop, "stop");
    }

    /**
     * Lets the signals of this process ask for a stop. To be called before the daemon listens.
     *
     * @param stop stops a started daemon, and completes with the number of calls that did not finish, not null
     * @return the stop
     */
    static AwaitedStop install(Supplier<CompletionStage<Integer>> stop) {
        AwaitedStop awaited = new AwaitedStop(stop);
        new StopSignals(awaited::request, () -> Runtime.getRuntime().halt(DaemonMain.EXIT_REQUESTS_UNFINISHED))
                .install();
        return awaited;
    }

    /** Stops the daemon, or does so once it has started. */
    void request() {
        CompletionStage<Integer> stopped = started.thenCompose(_started -> stop.get());
        stopped.whenComplete((count, failure) -> {
            if (failure == null) {
                unfinishedCount.complete(count);
            } else {
                unfinishedCount.completeExceptionally(failure);
            }
        });
    }

    /**
     * Waits for the end of a daemon that has started.
     *
     * @return the number of calls that did not finish
     */
    int awaitUnfinishedCount() {
        started.complete(null);
        return unfinishedCount.join();
    }
}
