package org.dogwoodwinch.relay;

import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs what a target does wrong on one connection. */
final class TargetConnectionLog {

    private static final Logger log = LoggerFactory.getLogger(TargetConnectionLog.class);

    private final Incarnation target;
    private final CarriedCalls carried;

    TargetConnectionLog(Incarnation target, CarriedCalls carried) {
        this.target = Objects.requireNonNull(target, "target");
        this.carried = Objects.requireNonNull(carried, "carried");
    }

    void stray(String lastRequestId, String state) {
        event("stray_answer", lastRequestId).with("state", state).info(log);
    }

    void unproved(String requestId, String reason, int status, List<String> statedIds) {
        event("answer_not_proved", requestId)
                .with("reason", reason)
                .with("status", status)
                .with("answers", statedIds)
                .warn(log);
    }

    void skipped(String requestId, String answeredId) {
        event("stranger_answer_passed_over", requestId)
                .with("answers", answeredId)
                .info(log);
    }

    void swallowed(String requestId) {
        event("answer_swallowed", requestId).warn(log);
    }

    void endless(String requestId, String kind, long bytes) {
        event("bytes_without_answer", requestId)
                .with("kind", kind)
                .with("bytes", bytes)
                .warn(log);
    }

    void failed(String requestId, Throwable cause) {
        event("target_connection_failed", requestId).with("error", cause).info(log);
    }

    private LogEvent event(String name, String requestId) {
        return LogEvent.of(name)
                .with("target", target.id())
                .with("request", requestId)
                .with("calls", carried.count());
    }
}
