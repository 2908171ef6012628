package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.dogwoodwinch.follow.ConditionalLog;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.KeyedStream;
import org.dogwoodwinch.follow.KeyedWriter;
import org.dogwoodwinch.follow.LogPosition;
import org.dogwoodwinch.follow.ReadResult;
import org.dogwoodwinch.forwarding.OrderLease;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.TimeSource;
import org.dogwoodwinch.usage.DutyOutcome;
import org.dogwoodwinch.usage.EraStart;
import org.dogwoodwinch.usage.InstanceUsage;
import org.dogwoodwinch.usage.ReportedUsage;
import org.dogwoodwinch.usage.UsageDestination;
import org.dogwoodwinch.usage.UsagePlanner;
import org.dogwoodwinch.usage.UsageReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports the usage of each window to the platform, on the one instance to which this is assigned. Confined to one event
 * loop.
 *
 * <p>Failure: two instances consider themselves assigned, or one is suspended between deciding and sending, and the
 * platform gets two different counts for one window. A report is therefore appended to a log before it is sent, only if
 * the log ends where this instance last read it, and the record's offset is the fencing token. A successor reads there
 * which counts were decided, and sends those again.
 *
 * <p>Failure: the store comes back from a copy that lacks the newest decisions, and the same windows would be decided
 * once more, from other counts. Whether that has happened is told by the log and not by what this process remembers,
 * which may have started since: before anything is decided in an era of the store, the log holds an {@link EraStart} of
 * that era, which leaves out the windows that were over when its writer learned of the era.
 */
final class UsageReporter {

    /** The log of the reports; its offsets are the fencing tokens. */
    static final String TOPIC = "keyed.usage-reports";

    /** The key of the newest reports. */
    static final String KEY = "reports";

    /** The key of the start of the era; programs without it ignore the record and decide by the newest reports alone. */
    static final String ERA_KEY = "era";

    private static final Logger log = LoggerFactory.getLogger(UsageReporter.class);
    private static final long CHECK_INTERVAL_MILLIS = 1_000;

    private final Dependencies dependencies;
    private final UsagePlanner planner;
    private final LogLease lease;
    private final TimeSource time;
    private long era;
    private long firstWindowSeen = Long.MIN_VALUE;
    private long startedEra;
    private Optional<Long> knownDecided = Optional.empty();
    private Optional<Long> confirmedThrough = Optional.empty();
    private boolean pending;

    /**
     * The collaborators.
     *
     * @param ownName the name of this instance, not null
     * @param isAssigned whether the duty is assigned to this instance, not null
     * @param counts what the instances have published, not null
     * @param countsWriter deletes what instances published that have long been silent, not null
     * @param reports the reports that were decided, not null
     * @param reportLog appends to the same topic, not null
     * @param eraLog appends the start of an era to the same topic, not null
     * @param destination receives the reports, not null
     */
    record Dependencies(
            String ownName,
            BooleanSupplier isAssigned,
            KeyedStream counts,
            KeyedWriter countsWriter,
            KeyedStream reports,
            ConditionalLog reportLog,
            ConditionalLog eraLog,
            UsageDestination destination) {}

    /**
     * Creates a reporter.
     *
     * @param dependencies the collaborators, not null
     * @param planner decides what is reported and when, not null
     * @param lease keeps the calls of two holders apart, not null
     * @param time the clock and timers, not null
     */
    UsageReporter(Dependencies dependencies, UsagePlanner planner, OrderLease lease, TimeSource time) {
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
        this.planner = Objects.requireNonNull(planner, "planner");
        this.lease = new LogLease(dependencies.reportLog(), lease, time);
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Starts to report whenever the duty is assigned to this instance. */
    void start() {
        boolean isUnconfirmed = !confirmedThrough.equals(knownDecided);
        if (!pending
                && dependencies.isAssigned().getAsBoolean()
                && (isUnconfirmed || startedEra < era || planner.isReportPossible(knownDecided, time.wallMillis()))) {
            pending = true;
            readReports();
        }
        time.schedule(CHECK_INTERVAL_MILLIS, this::start);
    }

    /**
     * Learns of an era of the store. What was decided in earlier ones was decided by now, so a window that is not over
     * yet was not.
     *
     * @param newEra the era; one that is known already is disregarded
     */
    void observeEra(long newEra) {
        if (newEra <= era) {
            return;
        }
        era = newEra;
        firstWindowSeen = planner.windowAt(time.wallMillis());
        LogEvent.of("usage_decisions_uncertain")
                .with("era", era)
                .with("decidedThrough", knownDecided.orElse(-1L))
                .with("firstWindow", firstWindowSeen)
                .info(log);
    }

    private void readReports() {
        dependencies.reports().readSnapshotPage(Optional.empty()).thenAccept(read -> {
            if (!(read instanceof ReadResult.Page page)) {
                stopStep("usage_reports_not_read", read);
                return;
            }
            observeEra(LogPosition.era(page.endOffset()));
            lease.recordReadEnd(page.endOffset());
            Optional<ReportedUsage> reported = findReports(page);
            if (reported.isEmpty()) {
                pending = false;
                return;
            }
            knownDecided = reported.get().decidedThrough();
            OptionalLong expectedEnd = lease.claimableOffset();
            if (expectedEnd.isEmpty()) {
                stopStep("usage_lease_held_by_other", page.endOffset());
                return;
            }
            Optional<EraStart> eraStart = findEraStart(page);
            if (eraStart.isEmpty()) {
                startEra(LogPosition.era(page.endOffset()), expectedEnd.getAsLong());
                return;
            }
            startedEra = eraStart.get().era();
            long firstWindow = eraStart.get().firstWindow();
            readCounts()
                    .thenAccept(counts -> counts.ifPresentOrElse(
                            instances -> decide(reported.get(), firstWindow, instances, expectedEnd.getAsLong()),
                            () -> pending = false));
        });
    }

    /** Returns the start of the era of a page; empty if nobody has recorded it. A store without eras loses nothing. */
    private static Optional<EraStart> findEraStart(ReadResult.Page page) {
        long era = LogPosition.era(page.endOffset());
        if (era == 0) {
            return Optional.of(new EraStart(0, Long.MIN_VALUE));
        }
        for (KeyedRecord each : page.records()) {
            if (each.key().equals(ERA_KEY) && each.value().isPresent()) {
                try {
                    return Optional.of(EraStart.decode(each.value().get())).filter(start -> start.era() == era);
                } catch (IOException e) {
                    LogEvent.of("usage_era_not_understood")
                            .with("offset", LogPosition.describe(each.offset()))
                            .with("error", e.getMessage())
                            .warn(log);
                }
            }
        }
        return Optional.empty();
    }

    /** Records which windows are left out in an era; the next step decides. */
    private void startEra(long newEra, long expectedEnd) {
        EraStart start = new EraStart(newEra, firstWindowSeen);
        lease.claim(dependencies.eraLog(), start.encode(), expectedEnd).thenAccept(outcome -> {
            LogEvent.of("usage_era_started")
                    .with("era", start.era())
                    .with("firstWindow", start.firstWindow())
                    .with("outcome", outcome.appended())
                    .info(log);
            pending = false;
        });
    }

    /**
     * A log that has an end but no record was not read whole; it must not be taken for one without reports. One that has
     * the start of an era alone was.
     */
    private static Optional<ReportedUsage> findReports(ReadResult.Page page) {
        for (KeyedRecord each : page.records()) {
            if (each.key().equals(KEY) && each.value().isPresent()) {
                try {
                    return Optional.of(ReportedUsage.decode(each.value().get()));
                } catch (IOException e) {
                    LogEvent.of("usage_reports_not_understood")
                            .with("offset", each.offset())
                            .with("error", e.getMessage())
                            .warn(log);
                    return Optional.empty();
                }
            }
        }
        boolean hasEraStart =
                page.records().stream().anyMatch(each -> each.key().equals(ERA_KEY));
        if (LogPosition.offset(page.endOffset()) == 0 || (hasEraStart && !page.hasMore())) {
            return Optional.of(ReportedUsage.NONE);
        }
        LogEvent.of("usage_reports_missing").with("endOffset", page.endOffset()).warn(log);
        return Optional.empty();
    }

    private CompletionStage<Optional<Map<String, InstanceUsage>>> readCounts() {
        return dependencies.counts().readSnapshot().thenApply(read -> {
            if (!(read instanceof ReadResult.Page page)) {
                LogEvent.of("usage_counts_not_read").with("result", read).info(log);
                return Optional.empty();
            }
            Map<String, InstanceUsage> found = new TreeMap<>();
            page.records().forEach(each -> decodeCounts(each).ifPresent(usage -> found.put(each.key(), usage)));
            return Optional.of(found);
        });
    }

    private static Optional<InstanceUsage> decodeCounts(KeyedRecord counted) {
        if (counted.value().isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(InstanceUsage.decode(counted.value().get()));
        } catch (IOException e) {
            LogEvent.of("usage_counts_not_understood")
                    .with("key", counted.key())
                    .with("error", e.getMessage())
                    .warn(log);
            return Optional.empty();
        }
    }

    private void decide(
            ReportedUsage reported, long firstWindow, Map<String, InstanceUsage> instances, long expectedEnd) {
        deleteOneObsolete(instances);
        Optional<UsageReport> next = planner.nextReport(reported, instances.values(), firstWindow, time.wallMillis());
        ReportedUsage decided = next.map(reported::with).orElse(reported);
        if (unconfirmed(decided).isEmpty()) {
            pending = false;
            return;
        }
        lease.claim(decided.encode(), expectedEnd).thenAccept(outcome -> {
            LogEvent.of("usage_lease")
                    .with("decidedThrough", decided.decidedThrough().orElse(-1L))
                    .with("instances", instances.size())
                    .with("expectedEnd", expectedEnd)
                    .with("outcome", outcome.appended())
                    .info(log);
            if (outcome.claim().isEmpty()) {
                pending = false;
                return;
            }
            knownDecided = decided.decidedThrough();
            sendNext(unconfirmed(decided), outcome.claim().get());
        });
    }

    /**
     * Deletes one record whose counts can no longer be reported. Each start of an instance has a record of its own, and
     * without this every report would read all of them. An instance that was only idle writes a new one.
     */
    private void deleteOneObsolete(Map<String, InstanceUsage> instances) {
        instances.entrySet().stream()
                .filter(each -> planner.isObsolete(each.getValue(), time.wallMillis()))
                .findFirst()
                .ifPresent(each -> dependencies
                        .countsWriter()
                        .put(each.getKey(), Optional.empty())
                        .thenAccept(deleted -> LogEvent.of("usage_counts_deleted")
                                .with("key", each.getKey())
                                .with("closedThrough", each.getValue().closedThrough())
                                .with("written", deleted)
                                .info(log)));
    }

    private List<UsageReport> unconfirmed(ReportedUsage decided) {
        return decided.recent().stream()
                .filter(report -> confirmedThrough.isEmpty() || report.window() > confirmedThrough.get())
                .toList();
    }

    /** Sends reports one after the other; after one that was not accepted, the next step starts with a new record. */
    private void sendNext(List<UsageReport> reports, LogLease.Claim claim) {
        if (reports.isEmpty() || !lease.isValid(claim)) {
            pending = false;
            return;
        }
        UsageReport report = reports.get(0);
        dependencies
                .destination()
                .send(dependencies.ownName(), claim.token(), report)
                .thenAccept(outcome -> {
                    LogEvent.of("usage_reported")
                            .with("window", report.window())
                            .with("owners", report.counts().size())
                            .with(
                                    "calls",
                                    report.counts().values().stream()
                                            .mapToLong(Long::longValue)
                                            .sum())
                            .with("fencingToken", claim.token())
                            .with("outcome", outcome)
                            .info(log);
                    if (outcome == DutyOutcome.ACCEPTED) {
                        confirmedThrough = Optional.of(report.window());
                        sendNext(reports.subList(1, reports.size()), claim);
                        return;
                    }
                    if (outcome == DutyOutcome.FENCED) {
                        lease.recordOtherHolder();
                    }
                    pending = false;
                });
    }

    /** Ends this step with a log line; the next check begins again. */
    private void stopStep(String event, Object result) {
        LogEvent.of(event).with("result", result).info(log);
        pending = false;
    }
}
