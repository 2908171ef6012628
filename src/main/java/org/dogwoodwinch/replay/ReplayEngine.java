package org.dogwoodwinch.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.dogwoodwinch.standin.EngineCost;
import org.dogwoodwinch.target.EngineConfiguration;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.EngineState;
import org.dogwoodwinch.target.LoadReport;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.time.TimeSource;

/** An engine that counts tokens instead of making them: the steps and costs of the stand-in engine, without text. */
final class ReplayEngine {

    private static final int CACHE_TOKENS = 40_000;
    private static final long REPORT_MILLIS = 250;
    private static final int REPORTS_KEPT = 60;

    private final String name;
    private final String group;
    private final EngineCost cost;
    private final TimeSource time;
    private final List<ReplaySequence> waiting = new ArrayList<>();
    private final List<ReplaySequence> running = new ArrayList<>();
    private final Map<String, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<LoadReport> reports = new ArrayDeque<>();
    private EngineRole role;
    private boolean ready = true;
    private boolean down;
    private boolean leaving;
    private boolean stepping;
    private long epoch;
    private long startedCount = 1;
    private int cacheTokens;
    private long kvTokens;
    private double carriedMillis;

    ReplayEngine(String name, String group, EngineRole role, EngineCost cost, TimeSource time) {
        this.name = name;
        this.group = group;
        this.role = role;
        this.cost = cost;
        this.time = time;
        reportAndRepeat();
    }

    String name() {
        return name;
    }

    String group() {
        return group;
    }

    EngineRole role() {
        return role;
    }

    boolean serving() {
        return ready && !down && !leaving;
    }

    boolean down() {
        return down;
    }

    boolean leaving() {
        return leaving;
    }

    boolean isIdle() {
        return waiting.isEmpty() && running.isEmpty();
    }

    void setLeaving(boolean isLeaving) {
        leaving = isLeaving;
    }

    /** Takes an attempt, or says why not. */
    Optional<TargetFailure> submit(ReplaySequence sequence) {
        if (down) {
            return Optional.of(new TargetFailure.NotSent("down"));
        }
        if (leaving || !ready) {
            return Optional.of(new TargetFailure.Refused("not serving", false, leaving, 0));
        }
        waiting.add(sequence);
        startStep();
        return Optional.empty();
    }

    void cancel(ReplaySequence sequence) {
        waiting.remove(sequence);
        if (running.remove(sequence)) {
            kvTokens -= sequence.kvTokens();
        }
    }

    void crash(long downMillis) {
        down = true;
        epoch++;
        stepping = false;
        cache.clear();
        cacheTokens = 0;
        kvTokens = 0;
        List<ReplaySequence> broken = new ArrayList<>(running);
        broken.addAll(waiting);
        running.clear();
        waiting.clear();
        broken.forEach(sequence -> sequence.fail(new TargetFailure.Broken("crashed")));
        time.schedule(downMillis, this::restart);
    }

    void changeRole(EngineRole newRole) {
        ready = false;
        time.schedule(cost.roleChangeMillis(), () -> {
            role = newRole;
            ready = true;
        });
    }

    EngineState state() {
        EngineConfiguration configuration = new EngineConfiguration(role, "m", "1", new TreeSet<>());
        return new EngineState(configuration, "", -1, ready, startedCount);
    }

    Optional<LoadReport> reportAsOldAs(long lagMillis) {
        LoadReport found = null;
        for (LoadReport report : reports) {
            if (report.reportedAtMillis() <= time.wallMillis() - lagMillis) {
                found = report;
            }
        }
        return Optional.ofNullable(found);
    }

    private void restart() {
        down = false;
        startedCount++;
    }

    private void startStep() {
        if (stepping || down) {
            return;
        }
        fillBatch();
        if (running.isEmpty()) {
            return;
        }
        stepping = true;
        int prefilled = 0;
        List<ReplaySequence> generating = new ArrayList<>(running.size());
        for (ReplaySequence sequence : running) {
            prefilled += sequence.prefill(cost.prefillChunkTokens() - prefilled);
            if (sequence.prefillLeft() == 0) {
                generating.add(sequence);
            }
        }
        double millis = cost.stepMillis(prefilled, generating.size()) + carriedMillis;
        long wholeMillis = Math.max(1, (long) millis);
        carriedMillis = millis - wholeMillis;
        long stepEpoch = epoch;
        time.schedule(wholeMillis, () -> endStep(generating, stepEpoch));
    }

    private void endStep(List<ReplaySequence> generating, long stepEpoch) {
        if (stepEpoch != epoch) {
            return;
        }
        for (ReplaySequence sequence : generating) {
            if (running.contains(sequence) && sequence.generate()) {
                running.remove(sequence);
                kvTokens -= sequence.kvTokens();
                sequence.complete();
            }
        }
        if (stepEpoch == epoch) {
            stepping = false;
            startStep();
        }
    }

    private void fillBatch() {
        long kvTotal = cost.kvTotalBytes() / cost.kvBytesPerToken();
        while (!waiting.isEmpty() && running.size() < cost.maxSequences()) {
            ReplaySequence next = first();
            if (!running.isEmpty() && kvTokens + next.kvTokens() > kvTotal) {
                return;
            }
            waiting.remove(next);
            running.add(next);
            kvTokens += next.kvTokens();
            if (!next.imported()) {
                next.useCached(lookUpAndStore(next.request()));
            }
        }
    }

    /** Engines honour priorities: urgent work first, then in order of arrival. */
    private ReplaySequence first() {
        ReplaySequence first = waiting.get(0);
        for (ReplaySequence next : waiting) {
            if (next.request().workClass().compareTo(first.request().workClass()) < 0) {
                first = next;
            }
        }
        return first;
    }

    private int lookUpAndStore(TraceRequest request) {
        Integer held = cache.get(request.prefix());
        if (held != null) {
            return held;
        }
        cache.put(request.prefix(), request.prefixTokens());
        cacheTokens += request.prefixTokens();
        // Long prompts push shared beginnings out as well.
        while (cacheTokens + request.promptTokens() > CACHE_TOKENS && cache.size() > 1) {
            String eldest = cache.keySet().iterator().next();
            cacheTokens -= cache.remove(eldest);
        }
        return 0;
    }

    private void reportAndRepeat() {
        if (!down) {
            reports.addLast(report());
        }
        if (reports.size() > REPORTS_KEPT) {
            reports.removeFirst();
        }
        time.schedule(REPORT_MILLIS, this::reportAndRepeat);
    }

    private LoadReport report() {
        long prefill = 0;
        long decode = 0;
        for (ReplaySequence sequence : running) {
            prefill += sequence.prefillLeft();
            decode += sequence.decodeLeft();
        }
        for (ReplaySequence sequence : waiting) {
            prefill += sequence.prefillLeft();
            decode += sequence.decodeLeft();
        }
        double decodeSpeed = cost.maxSequences() * 1_000.0 / cost.stepMillis(0, cost.maxSequences());
        return new LoadReport(
                time.wallMillis(),
                prefill,
                decode,
                running.size(),
                waiting.size(),
                kvTokens * cost.kvBytesPerToken(),
                cost.kvTotalBytes(),
                cost.prefillTokensPerSecond(),
                decodeSpeed);
    }
}
