package org.dogwoodwinch.daemon;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.dogwoodwinch.relay.StreamOrigin;

/** What happened to the streams of a {@link SoakDay}. */
final class SoakResult {

    private static final int MIN_JUDGED_STREAMS = 12;
    private static final int TRACED_COUNT = 3;

    int judgedCount;
    int goneOnCount;
    int wantedCount;
    int begunCount;
    int refusedCount;
    private final String story;
    private final Map<StreamOrigin.Source, Integer> countBySource = new EnumMap<>(StreamOrigin.Source.class);
    private final List<String> joined = new ArrayList<>();
    private final List<String> refusedDespiteRecord = new ArrayList<>();
    private final List<String> refusedDespiteObserver = new ArrayList<>();

    SoakResult(String story) {
        this.story = story;
    }

    void addJoined(String trace) {
        joined.add(trace);
    }

    /** Adds a stream that was refused although an instance in touch has a record of it. */
    void addRefusedDespiteRecord(String trace) {
        refusedDespiteRecord.add(trace);
    }

    /** Adds a stream that was refused although an instance in touch has seen no other version while it lived. */
    void addRefusedDespiteObserver(String trace) {
        refusedDespiteObserver.add(trace);
    }

    void countBySource(StreamOrigin.Source source) {
        countBySource.merge(source, 1, Integer::sum);
    }

    /** Returns what was wrong on this day. */
    List<String> failures() {
        List<String> failures = new ArrayList<>();
        if (!joined.isEmpty()) {
            failures.add(story + ": " + joined.size() + " streams joined:" + traced(joined));
        }
        if (judgedCount < MIN_JUDGED_STREAMS) {
            failures.add(story + ": " + judgedCount + " streams judged");
        }
        double goneOnShare = goneOnCount / (double) judgedCount;
        double begunShare = begunCount / (double) wantedCount;
        if (!(goneOnShare >= begunShare / 2)) {
            failures.add(story + ": " + goneOnShare + " of " + judgedCount + " streams went on, " + begunShare
                    + " of new ones began");
        }
        return failures;
    }

    /** Returns the figures, and traces of streams that were refused although their version could be told. */
    String report() {
        return story + ": joined " + joined.size() + ", begun " + begunCount + ", judged " + judgedCount
                + ", gone on " + goneOnCount + ", taken up " + countBySource + ", refused " + refusedCount
                + ", despite a record " + refusedDespiteRecord.size() + traced(refusedDespiteRecord)
                + ", despite an observer " + refusedDespiteObserver.size() + traced(refusedDespiteObserver);
    }

    private static String traced(List<String> traces) {
        return traces.stream().limit(TRACED_COUNT).map(trace -> "\n  " + trace).collect(Collectors.joining());
    }
}
