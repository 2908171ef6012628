package org.dogwoodwinch.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.target.LoadReport;

/**
 * The sequences that wait and run in a stand-in engine, and what each step computes of them. The engine guards it. Not
 * thread-safe.
 */
final class StandInBatch {

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final EngineCost cost;
    private final PrefixCache cache;
    private final Deque<StandInSequence> waiting = new ArrayDeque<>();
    private final List<StandInSequence> running = new ArrayList<>();
    private double carriedMillis;

    /**
     * Creates an empty batch.
     *
     * @param cost how long steps take and how much they hold, not null
     * @param cache the prefixes that need no prefill, not null
     */
    StandInBatch(EngineCost cost, PrefixCache cache) {
        this.cost = Objects.requireNonNull(cost, "cost");
        this.cache = Objects.requireNonNull(cache, "cache");
    }

    /** Adds a sequence that waits until the batch has room for it. */
    void add(StandInSequence sequence) {
        waiting.addLast(sequence);
    }

    /** Removes a sequence, and returns whether it was running. */
    boolean remove(StandInSequence sequence) {
        waiting.remove(sequence);
        return running.remove(sequence);
    }

    /** Removes and returns all sequences, first those that were running. */
    List<StandInSequence> removeAll() {
        List<StandInSequence> removed = new ArrayList<>(running);
        removed.addAll(waiting);
        running.clear();
        waiting.clear();
        return removed;
    }

    int waitingCount() {
        return waiting.size();
    }

    /** Returns how many sequences wait or run. */
    int size() {
        return waiting.size() + running.size();
    }

    /** Returns whether no sequence runs. */
    boolean isIdle() {
        return running.isEmpty();
    }

    /** Lets sequences run as far as there is room, those of the highest priority first. */
    void fill() {
        while (!waiting.isEmpty() && running.size() < cost.maxSequences()) {
            StandInSequence next = waiting.stream()
                    .max(Comparator.comparingInt(sequence -> sequence.call().priority()))
                    .orElseThrow();
            if (!running.isEmpty() && kvTokens() + next.promptTokens() > cost.kvTotalTokens()) {
                return;
            }
            waiting.remove(next);
            running.add(next);
            int cachedCharacters = cache.lookUpAndStore(next.call().prompt());
            if (next.call().kvReference().isEmpty()) {
                next.useCached(cachedCharacters);
            }
        }
    }

    /** Computes the prefill of a step, and returns what is generated at its end. */
    Step beginStep() {
        List<StandInSequence> generating = new ArrayList<>();
        int prefilled = 0;
        for (StandInSequence sequence : running) {
            prefilled += sequence.prefill(cost.prefillChunkTokens() - prefilled);
            if (sequence.prefillRemaining() == 0) {
                generating.add(sequence);
            }
        }
        double millis = cost.stepMillis(prefilled, generating.size()) + carriedMillis;
        long wholeMillis = Math.max(1, (long) millis);
        carriedMillis = millis - wholeMillis;
        return new Step(generating, wholeMillis);
    }

    /**
     * Returns a report of the current load.
     *
     * @param wallMillis wall-clock milliseconds
     * @return the report
     */
    LoadReport loadReport(long wallMillis) {
        long prefillTokens = 0;
        long decodeTokens = 0;
        for (StandInSequence sequence : running) {
            prefillTokens += sequence.prefillRemaining();
            decodeTokens += sequence.decodeRemaining();
        }
        for (StandInSequence sequence : waiting) {
            prefillTokens += sequence.prefillRemaining();
            decodeTokens += sequence.decodeRemaining();
        }
        double decodeSpeed = cost.maxSequences() * MILLIS_PER_SECOND / cost.stepMillis(0, cost.maxSequences());
        return new LoadReport(
                wallMillis,
                prefillTokens,
                decodeTokens,
                running.size(),
                waiting.size(),
                kvTokens() * cost.kvBytesPerToken(),
                cost.kvTotalBytes(),
                cost.prefillTokensPerSecond(),
                decodeSpeed);
    }

    private long kvTokens() {
        return running.stream().mapToLong(StandInSequence::contextTokens).sum();
    }

    /**
     * One step of the engine.
     *
     * @param generating the sequences that each get one token at its end
     * @param millis how long it takes, in milliseconds
     */
    record Step(List<StandInSequence> generating, long millis) {}
}
