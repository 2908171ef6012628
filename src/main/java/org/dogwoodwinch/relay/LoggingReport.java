package org.dogwoodwinch.relay;

import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.forwarding.ForwardingPlan;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.NextStep;
import org.dogwoodwinch.forwarding.SendCheck;
import org.dogwoodwinch.forwarding.SendOutcome;
import org.dogwoodwinch.forwarding.TargetRateLimits;
import org.dogwoodwinch.forwarding.TargetRests;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts decisions about calls in the metrics and logs refusals, failures and disconnects. */
final class LoggingReport implements RelayReport {

    private static final Logger log = LoggerFactory.getLogger(LoggingReport.class);
    private static final long OLD_ENTRIES_LOG_MILLIS = 1_000;

    /** Targets choose the ids of events, and callers name them. */
    private static final int MAX_LOGGED_EVENT_ID_LENGTH = 128;

    private final ForwardingMetrics metrics;
    private final TargetRateLimits limits;
    private final TargetRests rests;
    private final TargetEntriesAge entriesAge;
    private final TimeSource time;
    private long lastOldEntriesLogMillis = Long.MIN_VALUE / 2;
    private int unloggedOldEntriesCount;

    LoggingReport(
            ForwardingMetrics metrics,
            TargetRateLimits limits,
            TargetRests rests,
            TargetEntriesAge entriesAge,
            TimeSource time) {
        this.time = Objects.requireNonNull(time, "time");
        this.entriesAge = Objects.requireNonNull(entriesAge, "entriesAge");
        this.rests = Objects.requireNonNull(rests, "rests");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void refusedBeforeRouting(String requestId, int status, String reason) {
        metrics.refused(status, reason);
        LogEvent.of("call_refused")
                .with("request", requestId)
                .with("status", status)
                .with("reason", reason)
                .info(log);
    }

    @Override
    public void heldBack(CallRelay call, CallSuspicion.Refusal refusal) {
        metrics.refused(LocalResponses.UNAVAILABLE, refusal.reason());
        if (refusal.segment().isEmpty()) {
            callEvent("call_quarantined", call).info(log);
            return;
        }
        callEvent("call_held_back", call)
                .with("segment", refusal.segment().get())
                .with("crashes", refusal.crashesCount())
                .with("retryAfterMillis", refusal.retryAfterMillis())
                .info(log);
    }

    @Override
    public void noTarget(CallRelay call) {
        metrics.refused(LocalResponses.UNAVAILABLE, "no_target");
        callEvent("no_target", call)
                .with("version", call.softwareVersion().orElse(""))
                .with("limitUsedUp", limits.exhaustedTargetIds())
                .with("resting", rests.restingTargetIds())
                .info(log);
    }

    @Override
    public void targetUnreachable(String targetId, long pauseMillis, String reason) {
        LogEvent.of("target_unreachable")
                .with("target", targetId)
                .with("reason", reason)
                .with("pauseMillis", pauseMillis)
                .info(log);
    }

    @Override
    public void prefillFailed(CallRelay call, Incarnation engine, String reason, NextStep step, double budgetLeft) {
        String next = step.getClass().getSimpleName();
        metrics.sendFailed("not_run", "prompt_" + reason, next);
        LogEvent.of("prompt_not_read")
                .with("request", call.requestId())
                .with("target", engine.id())
                .with("reason", reason)
                .with("next", next)
                .with("budgetLeft", Math.floor(budgetLeft))
                .info(log);
    }

    @Override
    public void retryDecided(String service, RetryDecision decision) {
        metrics.retryDecided(service, lowerCaseName(decision));
    }

    @Override
    public void sendFailed(CallRelay call, SendOutcome outcome, NextStep step, double budgetLeft) {
        String knowledge = knowledgeOf(outcome);
        String reason = reasonOf(outcome);
        String next = step.getClass().getSimpleName();
        metrics.sendFailed(knowledge, reason, next);
        callEvent("send_failed", call)
                .with("known", knowledge)
                .with("reason", reason)
                .with("next", next)
                .with("budgetLeft", Math.floor(budgetLeft))
                .info(log);
    }

    @Override
    public void deadlineExceeded(CallRelay call, boolean mayHaveRun) {
        metrics.refused(mayHaveRun ? LocalResponses.GATEWAY_TIMEOUT : LocalResponses.UNAVAILABLE, "time_limit");
        callEvent("time_limit", call).with("mayHaveRun", mayHaveRun).info(log);
    }

    @Override
    public void sent(
            String requestId,
            Incarnation target,
            ForwardingPlan.PrefillWork prefillWork,
            long aheadTokens,
            SendPurpose purpose) {
        long ageMillis = entriesAge.ageMillis().getAsLong();
        metrics.sent(lowerCaseName(purpose), limits.isRateLimited(target.id()), ageMillis);
        if (entriesAge.isOld(ageMillis)) {
            logSentOnOldEntries(requestId, target, ageMillis);
        }
        if (log.isDebugEnabled()) {
            LogEvent.of("call_sent")
                    .with("request", requestId)
                    .with("target", target.id())
                    .with("stage", target.stage())
                    .with("level", prefillWork.level())
                    .with("unreadTokens", prefillWork.prefillTokens())
                    .with("aheadTokens", aheadTokens)
                    .with(
                            "keeper",
                            prefillWork.cacheSource().map(Incarnation::id).orElse(""))
                    .with("purpose", lowerCaseName(purpose))
                    .with("limitUsedUp", limits.exhaustedTargetIds())
                    .debug(log);
        }
    }

    /** While the store is away each call is sent so; one in a second is enough to show it. */
    private void logSentOnOldEntries(String requestId, Incarnation target, long ageMillis) {
        long nowMillis = time.monotonicMillis();
        if (nowMillis - lastOldEntriesLogMillis < OLD_ENTRIES_LOG_MILLIS) {
            unloggedOldEntriesCount++;
            return;
        }
        LogEvent.of("call_sent_on_old_entries")
                .with("request", requestId)
                .with("target", target.id())
                .with("ageMillis", ageMillis)
                .with("promisedMillis", entriesAge.promisedMillis())
                .with("unlogged", unloggedOldEntriesCount)
                .info(log);
        lastOldEntriesLogMillis = nowMillis;
        unloggedOldEntriesCount = 0;
    }

    @Override
    public void keptFromTarget(String requestId, Incarnation target, SendCheck check) {
        boolean left = check == SendCheck.LEFT;
        metrics.callKept(left ? "left" : "resting");
        LogEvent.of(left ? "target_left_before_send" : "target_rests_before_send")
                .with("request", requestId)
                .with("target", target.id())
                .with("bornMillis", target.startedMillis())
                .info(log);
    }

    @Override
    public void firstByte(CallRelay call) {
        metrics.firstByte(call.ageMillis());
        if (log.isDebugEnabled()) {
            callEvent("first_byte", call).debug(log);
        }
    }

    @Override
    public void ranBesidePrefill(String service, boolean stalled) {
        metrics.streams().besidePrefill(service, stalled);
    }

    @Override
    public void succeeded(CallRelay call) {
        metrics.answered(routeKind(call), call.ageMillis());
    }

    @Override
    public void responseEnded(CallRelay call, ResponseEnd end, ResponseVerdict verdict, int eventsCount) {
        metrics.responseEnded(lowerCaseName(end), verdict.reason());
        if (end == ResponseEnd.CONNECTION || verdict != ResponseVerdict.COMPLETE) {
            callEvent("response_ended", call)
                    .with("by", lowerCaseName(end))
                    .with("verdict", verdict.reason())
                    .with("events", eventsCount)
                    .info(log);
        }
    }

    @Override
    public void streamTakenUp(CallRelay call, StreamOrigin.Known origin) {
        metrics.streams().takenUp(lowerCaseName(origin.source()));
        callEvent("stream_taken_up", call)
                .with("resumes", call.resumes())
                .with("version", origin.softwareVersion())
                .with("knownBy", lowerCaseName(origin.source()))
                .with("recordMillis", origin.ageMillis())
                .with("lastEventId", shortened(call.namedLastEventId()))
                .with("configVersion", call.configVersion())
                .info(log);
    }

    @Override
    public void streamNotTakenUp(IdentifiedCall call, String reason) {
        metrics.refused(LocalResponses.UNAVAILABLE, "stream_" + reason);
        callEvent("stream_not_taken_up", call)
                .with("resumes", call.resumes())
                .with("reason", reason)
                .with("lastEventId", shortened(call.attributes().lastEventId()))
                .with("configVersion", call.configVersion())
                .info(log);
    }

    @Override
    public void streamFirstEvent(CallRelay call, StreamContinuity.FirstEvent event, Optional<String> eventId) {
        if (event.isFirstOfTakeUp()) {
            metrics.streams().takeUpEnded(event.isOfVersionDemanded() ? "went_on" : "other_version");
        }
        callEvent("stream_first_event", call)
                .with("resumes", call.resumes())
                .with("version", event.versionDemanded().orElse(""))
                .with("targetVersion", event.target().softwareVersion())
                .with("lastEventId", shortened(event.lastEventId()))
                .with("firstEventId", shortened(eventId))
                .with("configVersion", call.configVersion())
                .info(log);
    }

    @Override
    public void streamTakeUpWithoutEvent(CallRelay call) {
        metrics.streams().takeUpEnded("no_event");
        callEvent("stream_take_up_without_event", call)
                .with("resumes", call.resumes())
                .with("version", call.softwareVersion().orElse(""))
                .with("lastEventId", shortened(call.namedLastEventId()))
                .with("configVersion", call.configVersion())
                .info(log);
    }

    private static String shortened(Optional<String> eventId) {
        String text = eventId.orElse("");
        return text.substring(0, Math.min(text.length(), MAX_LOGGED_EVENT_ID_LENGTH));
    }

    @Override
    public void callerDisconnected(CallRelay call) {
        metrics.requestEnds().callerDisconnected(routeKind(call));
        callEvent("caller_gone", call).info(log);
    }

    @Override
    public void callerDisconnected(IdentifiedCall call) {
        metrics.requestEnds().callerDisconnected(lowerCaseName(call.route().kind()));
        callEvent("caller_gone", call).info(log);
    }

    /** Returns a line about a call that has no service yet, and was not sent. */
    private LogEvent callEvent(String event, IdentifiedCall call) {
        return LogEvent.of(event)
                .with("request", call.requestId())
                .with("route", call.route().name())
                .with("service", "")
                .with("target", "")
                .with("sends", 0)
                .with("stage", "not_sent")
                .with("sentMillis", -1)
                .with("ageMillis", time.monotonicMillis() - call.call().arrivalMillis());
    }

    private static LogEvent callEvent(String event, CallRelay call) {
        return LogEvent.of(event)
                .with("request", call.requestId())
                .with("route", call.route().name())
                .with("service", call.serviceName())
                .with("target", call.targetId().orElse(""))
                .with("sends", call.sendsCount())
                .with("stage", call.stage())
                .with("sentMillis", call.sentMillis())
                .with("ageMillis", call.ageMillis());
    }

    private static String lowerCaseName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private static String routeKind(CallRelay call) {
        return lowerCaseName(call.route().kind());
    }

    private static String knowledgeOf(SendOutcome outcome) {
        if (outcome instanceof SendOutcome.NotSent) {
            return "not_sent";
        }
        if (outcome instanceof SendOutcome.Rejected || outcome instanceof SendOutcome.NotPrefilled) {
            return "not_run";
        }
        return outcome instanceof SendOutcome.Unknown ? "unknown" : "ran";
    }

    private static String reasonOf(SendOutcome outcome) {
        if (outcome instanceof SendOutcome.NotSent notSent) {
            return notSent.reason();
        }
        if (outcome instanceof SendOutcome.NotPrefilled notPrefilled) {
            return notPrefilled.reason();
        }
        if (outcome instanceof SendOutcome.Unknown unknown) {
            return unknown.reason();
        }
        if (outcome instanceof SendOutcome.Rejected rejected) {
            return "status_" + rejected.status();
        }
        return "status_" + ((SendOutcome.RanAndFailed) outcome).status();
    }
}
