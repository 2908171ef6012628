package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
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
     * The last plans.
     *
     * @param byService the plans by service, without those that cannot be used
     * @param endOffset the end of the topic before the first plan was read
     */
    record Plans(Map<String, ScalePlan> byService, long endOffset) {}

    /**
     * Reads the plans.
     *
     * @return a stage that completes with the plans, or empty if they could not be read whole; never exceptionally
     */
    CompletionStage<Optional<Plans>> read() {
        return topic.readSnapshot().thenApply(read -> {
            if (!(read instanceof ReadResult.Page page)) {
                LogEvent.of("scale_plans_not_read").with("result", read).info(log);
                return Optional.empty();
            }
            // A log that has an end but no record was not read whole; it must not be taken for one without plans.
            if (page.records().isEmpty() && LogPosition.offset(page.endOffset()) != 0) {
                LogEvent.of("scale_plans_missing")
                        .with("endOffset", LogPosition.describe(page.endOffset()))
                        .warn(log);
                return Optional.empty();
            }
            Map<String, ScalePlan> found = new HashMap<>();
            page.records().forEach(each -> decode(each).ifPresent(plan -> found.put(each.key(), plan)));
            LogEvent.of("scale_plans_read")
                    .with("services", found.size())
                    .with("endOffset", LogPosition.describe(page.endOffset()))
                    .info(log);
            return Optional.of(new Plans(found, page.endOffset()));
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
