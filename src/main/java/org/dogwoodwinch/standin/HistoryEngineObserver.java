package org.dogwoodwinch.standin;

import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.dogwoodwinch.history.AttemptEvent;
import org.dogwoodwinch.history.HistoryRecorder;
import org.dogwoodwinch.history.OrderEvent;
import org.dogwoodwinch.target.EngineOrder;
import org.dogwoodwinch.time.TimeSource;

/**
 * Writes what a stand-in engine really did into the history of a run.
 *
 * <p>Callers put {@code [request=ID]} into the prompt, so that a run tells whose it is though the system gives attempts
 * ids of its own.
 */
public final class HistoryEngineObserver implements StandInEngineObserver {

    private static final Pattern REQUEST = Pattern.compile("\\[request=([^\\]]{1,64})]");

    private final TimeSource time;
    private final HistoryRecorder history;

    /**
     * Creates an observer; one may serve many engines.
     *
     * @param time gives the run's common time of day, not null
     * @param history takes the events, not null
     */
    public HistoryEngineObserver(TimeSource time, HistoryRecorder history) {
        this.time = Objects.requireNonNull(time, "time");
        this.history = Objects.requireNonNull(history, "history");
    }

    /**
     * Reads a request's id from a prompt or a body.
     *
     * @param text the prompt or the body, not null
     * @return the id, or an empty text where there is no marker
     */
    public static String requestId(String text) {
        Matcher matcher = REQUEST.matcher(text);
        return matcher.find() ? matcher.group(1) : "";
    }

    @Override
    public void onExecuted(String engine, String attemptId, String prompt) {
        history.record(new AttemptEvent.Executed(time.wallMillis(), engine, attemptId, requestId(prompt)));
    }

    @Override
    public void onApplied(String engine, EngineOrder order) {
        history.record(new OrderEvent.Applied(
                time.wallMillis(),
                engine,
                order.orderId(),
                order.fencingToken(),
                order.configuration().toString()));
    }

    @Override
    public void onCut(String engine, String attemptId) {
        history.record(new AttemptEvent.Cut(time.wallMillis(), engine, attemptId, AttemptEvent.Cause.PLANNED_CHANGE));
    }

    @Override
    public void onCrashCut(String engine, String attemptId) {
        history.record(new AttemptEvent.Cut(time.wallMillis(), engine, attemptId, AttemptEvent.Cause.CRASH));
    }
}
