package org.dogwoodwinch.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Replays traces under several policies, a few at a time. */
public final class Comparison {

    private static final int THREADS = 3;

    private Comparison() {}

    /**
     * Replays every trace under every policy.
     *
     * @param traces the traces, not null
     * @param policies the policies, not null
     * @return one list of results for each policy, in the order of the traces
     */
    public static List<List<ReplayResult>> run(List<Trace> traces, List<ReplayPolicy> policies) {
        ExecutorService executor = Executors.newFixedThreadPool(THREADS);
        try {
            List<List<Future<ReplayResult>>> running = new ArrayList<>();
            for (ReplayPolicy policy : policies) {
                running.add(traces.stream()
                        .map(trace -> executor.submit(callable(trace, policy)))
                        .toList());
            }
            return running.stream()
                    .map(ofPolicy -> ofPolicy.stream().map(Comparison::result).toList())
                    .toList();
        } finally {
            executor.shutdownNow();
        }
    }

    private static Callable<ReplayResult> callable(Trace trace, ReplayPolicy policy) {
        Objects.requireNonNull(trace, "trace");
        return () -> new Replay(trace, policy).run();
    }

    private static ReplayResult result(Future<ReplayResult> future) {
        try {
            return future.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while replaying", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a replay failed", e);
        }
    }
}
