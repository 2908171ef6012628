package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.KeyedStream;
import org.dogwoodwinch.follow.LogPosition;
import org.dogwoodwinch.follow.ReadResult;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.scaling.RecordedPlan;
import org.dogwoodwinch.scaling.ScalePlan;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the last plans of all services from their topic. */
final class ScalePlanReader {

    private static final Logger log = LoggerFactory.getLogger(ScalePlanReader.class);

    private final KeyedStream topic;

    ScalePlanReader(KeyedStream topic) {
        this.topic = Objects.requireNonNull(topic, "topic");
    }

    /**
     * The last plans. The end is that of the first page: if a plan was appended while the other pages were read, the next
     * claim fails, and all are read again.
     *
     * @param byService the plans by service, without those that cannot be used
     * @param endOffset the end of the topic
     */
    record Plans(Map<String, ScalePlan> byService, long endOffset) {}

    /**
     * Reads the plans.
     *
     * @return a stage that completes with the plans, or empty if they could not be read whole; never exceptionally
     */
    CompletionStage<Optional<Plans>> read() {
        return readPage(Optional.empty(), Optional.empty());
    }

    private CompletionStage<Optional<Plans>> readPage(Optional<String> afterKey, Optional<Plans> before) {
        return topic.readSnapshotPage(afterKey).thenCompose(read -> {
            if (!(read instanceof ReadResult.Page page)) {
                LogEvent.of("scale_plans_not_read").with("result", read).info(log);
                return CompletableFuture.completedFuture(Optional.empty());
            }
            // A log that has an end but no record was not read whole; it must not be taken for one without plans.
            if (before.isEmpty() && page.records().isEmpty() && LogPosition.offset(page.endOffset()) != 0) {
                LogEvent.of("scale_plans_missing")
                        .with("endOffset", LogPosition.describe(page.endOffset()))
                        .warn(log);
                return CompletableFuture.completedFuture(Optional.empty());
            }
            Plans found = before.orElseGet(() -> new Plans(new HashMap<>(), page.endOffset()));
            page.records()
                    .forEach(each ->
                            decode(each).ifPresent(plan -> found.byService().put(each.key(), plan)));
            if (page.hasMore() && !page.records().isEmpty()) {
                String last = page.records().get(page.records().size() - 1).key();
                return readPage(Optional.of(last), Optional.of(found));
            }
            LogEvent.of("scale_plans_read")
                    .with("services", found.byService().size())
                    .with("endOffset", LogPosition.describe(found.endOffset()))
                    .info(log);
            return CompletableFuture.completedFuture(Optional.of(found));
        });
    }

    /** A plan that cannot be used counts as none: the engines stay as they are until a plan is decided. */
    private static Optional<ScalePlan> decode(KeyedRecord record) {
        if (record.value().isEmpty()) {
            return Optional.empty();
        }
        try {
            RecordedPlan recorded = RecordedPlan.decode(record.value().get());
            boolean isCurrent = recorded.era() == LogPosition.era(record.offset());
            LogEvent.of(isCurrent ? "scale_plan_read" : "scale_plan_of_earlier_era")
                    .with("service", record.key())
                    .with("offset", LogPosition.describe(record.offset()))
                    .with("plan", ScaleLog.describe(recorded.plan().desiredCounts()))
                    .info(log);
            return isCurrent ? Optional.of(recorded.plan()) : Optional.empty();
        } catch (IOException e) {
            LogEvent.of("scale_plan_not_understood")
                    .with("service", record.key())
                    .with("offset", LogPosition.describe(record.offset()))
                    .with("error", e.getMessage())
                    .warn(log);
            return Optional.empty();
        }
    }
}
