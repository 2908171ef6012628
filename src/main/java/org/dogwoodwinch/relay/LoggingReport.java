package org.dogwoodwinch.relay;

import java.util.Locale;
import java.util.Objects;
import org.dogwoodwinch.forwarding.ForwardingPlan;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.NextStep;
import org.dogwoodwinch.forwarding.SendOutcome;
import org.dogwoodwinch.forwarding.TargetRateLimits;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts every decision about a call and logs those that are no routine success. */
final class LoggingReport implements RelayReport {

    private static final Logger log = LoggerFactory.getLogger(LoggingReport.class);

    private final ForwardingMetrics metrics;
    private final TargetRateLimits limits;

    LoggingReport(ForwardingMetrics metrics, TargetRateLimits limits) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void refusedEarly(String requestId, int status, String reason) {
        metrics.refused(status, reason);
        LogEvent.of("call_refused")
                .with("request", requestId)
                .with("status", status)
                .with("reason", reason)
                .info(log);
    }

    @Override
    public void quarantined(CallRelay call) {
        metrics.refused(OwnAnswers.UNAVAILABLE, "quarantined");
        about("call_quarantined", call).info(log);
    }

    @Override
    public void noTarget(CallRelay call) {
        metrics.refused(OwnAnswers.UNAVAILABLE, "no_target");
        about("no_target", call)
                .with("limitUsedUp", limits.exhaustedTargetIds())
                .info(log);
    }

    @Override
    public void unreachable(String targetId, long pauseMillis, String reason) {
        LogEvent.of("target_unreachable")
                .with("target", targetId)
                .with("reason", reason)
                .with("pauseMillis", pauseMillis)
                .info(log);
    }

    @Override
    public void promptNotRead(CallRelay call, Incarnation reader, String reason, NextStep step, double budgetLeft) {
        String next = step.getClass().getSimpleName();
        metrics.sendFailed("not_run", "prompt_" + reason, next);
        LogEvent.of("prompt_not_read")
                .with("request", call.requestId())
                .with("target", reader.id())
                .with("reason", reason)
                .with("next", next)
                .with("budgetLeft", Math.floor(budgetLeft))
                .info(log);
    }

    @Override
    public void repeat(String service, Repeat what) {
        metrics.repeat(service, lower(what));
    }

    @Override
    public void sendFailed(CallRelay call, SendOutcome outcome, NextStep step, double budgetLeft) {
        String known = known(outcome);
        String reason = reason(outcome);
        String next = step.getClass().getSimpleName();
        metrics.sendFailed(known, reason, next);
        about("send_failed", call)
                .with("known", known)
                .with("reason", reason)
                .with("next", next)
                .with("budgetLeft", Math.floor(budgetLeft))
                .info(log);
    }

    @Override
    public void limitReached(CallRelay call, boolean mayHaveRun) {
        metrics.refused(mayHaveRun ? OwnAnswers.GATEWAY_TIMEOUT : OwnAnswers.UNAVAILABLE, "time_limit");
        about("time_limit", call).with("mayHaveRun", mayHaveRun).info(log);
    }

    @Override
    public void sent(
            String requestId,
            Incarnation target,
            ForwardingPlan.PrefillWork reading,
            long aheadTokens,
            SendPurpose purpose) {
        metrics.sent(lower(purpose), limits.isRateLimited(target.id()));
        if (log.isDebugEnabled()) {
            LogEvent.of("call_sent")
                    .with("request", requestId)
                    .with("target", target.id())
                    .with("stage", target.stage())
                    .with("level", reading.level())
                    .with("unreadTokens", reading.prefillTokens())
                    .with("aheadTokens", aheadTokens)
                    .with("keeper", reading.cacheSource().map(Incarnation::id).orElse(""))
                    .with("purpose", lower(purpose))
                    .with("limitUsedUp", limits.exhaustedTargetIds())
                    .debug(log);
        }
    }

    @Override
    public void leftBeforeSend(String requestId, Incarnation target) {
        LogEvent.of("target_left_before_send")
                .with("request", requestId)
                .with("target", target.id())
                .with("bornMillis", target.startedMillis())
                .info(log);
    }

    @Override
    public void firstByte(CallRelay call) {
        metrics.firstByte(call.ageMillis());
        if (log.isDebugEnabled()) {
            about("first_byte", call).debug(log);
        }
    }

    @Override
    public void succeeded(CallRelay call) {
        metrics.answered(kind(call), call.ageMillis());
    }

    @Override
    public void callerGone(CallRelay call) {
        metrics.callerGone(kind(call));
        about("caller_gone", call).info(log);
    }

    private static LogEvent about(String event, CallRelay call) {
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

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private static String kind(CallRelay call) {
        return lower(call.route().kind());
    }

    private static String known(SendOutcome outcome) {
        if (outcome instanceof SendOutcome.NotSent) {
            return "not_sent";
        }
        if (outcome instanceof SendOutcome.Rejected || outcome instanceof SendOutcome.NotPrefilled) {
            return "not_run";
        }
        return outcome instanceof SendOutcome.Unknown ? "unknown" : "ran";
    }

    private static String reason(SendOutcome outcome) {
        if (outcome instanceof SendOutcome.NotSent notSent) {
            return notSent.reason();
        }
        if (outcome instanceof SendOutcome.NotPrefilled notRead) {
            return notRead.reason();
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
