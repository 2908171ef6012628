package org.dogwoodwinch.replay;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.dogwoodwinch.catalogue.WorkClass;

/** Counts the outcomes of a replay. */
final class ReplayTally {

    private static final long BIN_MILLIS = 10_000;

    private final Histogram firstTokenMillis = new Histogram(3);
    private final Histogram betweenTokensMicros = new Histogram(3);
    private final int[] goodByBin;
    private final Map<WorkClass, Integer> good = new EnumMap<>(WorkClass.class);
    private long promptTokens;
    private long cachedTokens;
    private int refused;
    private int late;
    private int failed;

    ReplayTally(long lastMillis) {
        this.goodByBin = new int[(int) (lastMillis / BIN_MILLIS) + 2];
    }

    void onAnswer(TraceRequest request, long nowMillis, long firstMillis) {
        good.merge(request.workClass(), 1, Integer::sum);
        goodByBin[(int) Math.min(goodByBin.length - 1, nowMillis / BIN_MILLIS)]++;
        if (request.outputTokens() > 1) {
            betweenTokensMicros.recordValue((nowMillis - firstMillis) * 1_000 / (request.outputTokens() - 1));
        }
    }

    void onFirstToken(TraceRequest request, long nowMillis) {
        if (request.workClass() != WorkClass.LONG_READ) {
            firstTokenMillis.recordValue(nowMillis - request.atMillis());
        }
    }

    void onPrompt(long prompt, long cached) {
        promptTokens += prompt;
        cachedTokens += cached;
    }

    void onRefused() {
        refused++;
    }

    void onLate() {
        late++;
    }

    void onFailed() {
        failed++;
    }

    int good(WorkClass workClass) {
        return good.getOrDefault(workClass, 0);
    }

    int refused() {
        return refused;
    }

    int late() {
        return late;
    }

    int failed() {
        return failed;
    }

    double prefixHitShare() {
        return promptTokens == 0 ? 0 : cachedTokens / (double) promptTokens;
    }

    long firstTokenP95Millis() {
        return firstTokenMillis.getValueAtPercentile(95);
    }

    double betweenTokensP95Millis() {
        return betweenTokensMicros.getValueAtPercentile(95) / 1_000.0;
    }

    int[] goodByBin() {
        return goodByBin.clone();
    }
}
