package org.dogwoodwinch.control;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueHolder;
import org.dogwoodwinch.catalogue.CatalogueView;
import org.dogwoodwinch.catalogue.EditRecord;
import org.dogwoodwinch.controllog.ControlRecord;
import org.dogwoodwinch.controllog.FollowerListener;
import org.dogwoodwinch.controllog.LogFollower;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerBoard;
import org.dogwoodwinch.platform.AppendResult;
import org.dogwoodwinch.platform.LogService;
import org.dogwoodwinch.platform.ReadResult;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This instance's part in the control stream: it follows the log, keeps the fold and the catalogue in force, publishes
 * checkpoints and edits.
 *
 * <p>It has no thread of its own: the log client's completions and timers of the {@link TimeSource} drive it, all under
 * one lock. Thread-safe. Listeners of the catalogue are called under that lock and must not wait.
 */
public final class ControlNode implements ControlApi {

    private static final Logger log = LoggerFactory.getLogger(ControlNode.class);
    private static final long ANSWER_MILLIS = 10_000;

    private final ControlSettings settings;
    private final LogService logService;
    private final TimeSource time;
    private final UniformRandomProvider random;
    private final ControlCodec codec = new ControlCodec();
    private final CatalogueHolder holder = new CatalogueHolder();
    private final EditDesk edits = new EditDesk();
    private final CheckpointClock checkpoints;
    private final CatalogueExchange exchange;
    private final ControlReader reader;
    private final LogFollower follower;
    private boolean running;

    /**
     * Creates a node that does not run yet.
     *
     * @param settings how it takes part, not null
     * @param logService the log, not null
     * @param time gives the time and runs the timers, not null
     * @param board carries the catalogue to peers that start during an outage, not null
     * @param publishesToPeers whether this instance is one of those that tell the others the catalogue, not null
     * @param random spreads the instances' timers and makes ids, not null
     * @param rule decides which checkpoints a start may build on, not null
     */
    public ControlNode(
            ControlSettings settings,
            LogService logService,
            TimeSource time,
            PeerBoard board,
            BooleanSupplier publishesToPeers,
            UniformRandomProvider random,
            CheckpointRule rule) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.logService = Objects.requireNonNull(logService, "logService");
        this.time = Objects.requireNonNull(time, "time");
        this.random = Objects.requireNonNull(random, "random");
        this.checkpoints = new CheckpointClock(settings.checkpointMillis(), settings.checkpointRecords(), random);
        this.exchange = new CatalogueExchange(board, holder, publishesToPeers, settings.peerGatherMillis());
        this.reader = new ControlReader(codec, rule, this::onFolded);
        this.follower = new LogFollower(logService, settings.follower(), time, new Feed());
    }

    /** Starts to follow the log; a second call has no effect. */
    public void start() {
        synchronized (this) {
            if (running) {
                return;
            }
            running = true;
        }
        follower.start(0);
        time.schedule(settings.tickMillis(), this::tick);
    }

    /** Stops; a second call has no effect. */
    public void stop() {
        synchronized (this) {
            running = false;
        }
        follower.stop();
    }

    @Override
    public CatalogueView catalogue() {
        return holder;
    }

    @Override
    public CompletionStage<ApplyResult> applyEdit(EditRequest request) {
        CatalogueEditIntake intake = intake(request);
        intake.edit().ifPresent(this::publish);
        return intake.answer();
    }

    @Override
    public synchronized ApplyResult editStatus(String editId) {
        return reader.fold()
                .catalogue()
                .find(editId)
                .map(EditDesk::result)
                .orElseGet(
                        () -> new ApplyResult.UnknownYet(editId, "not read from the log as far as this instance is"));
    }

    @Override
    public synchronized List<EditRecord> history() {
        return reader.fold().catalogue().history();
    }

    @Override
    public synchronized ControlStatus status() {
        return new ControlStatus(
                settings.instance(),
                holder.current().map(Catalogue::revision).orElse(-1L),
                reader.fold().coveredOffset(),
                reader.endOffset(),
                reader.isCaughtUp(),
                reader.isLogOut());
    }

    private synchronized CatalogueEditIntake intake(EditRequest request) {
        if (!reader.isCaughtUp()) {
            return new CatalogueEditIntake(
                    Optional.empty(),
                    CompletableFuture.completedFuture(new ApplyResult.UnknownYet(
                            request.editId(), "this instance has not read the log to its end yet")));
        }
        EditDesk.Intake intake = edits.take(request, reader.fold().catalogue(), time.wallMillis());
        return new CatalogueEditIntake(
                intake.edit().map(ControlRecord.class::cast),
                intake.answer()
                        .<CompletionStage<ApplyResult>>map(CompletableFuture::completedFuture)
                        .orElseGet(() -> edits.await(request.editId(), time.monotonicMillis() + ANSWER_MILLIS)));
    }

    private void publish(ControlRecord record) {
        logService
                .append(settings.follower().stream(), codec.encode(record))
                .whenComplete((result, failure) -> logAppend(record, result, failure));
    }

    private static void logAppend(ControlRecord record, AppendResult result, Throwable failure) {
        if (failure != null || !(result instanceof AppendResult.Appended)) {
            LogEvent.of("control_append_not_confirmed")
                    .with("kind", record.getClass().getSimpleName())
                    .with("id", record.id())
                    .with("detail", failure != null ? failure : result)
                    .warn(log);
        }
    }

    private void tick() {
        Optional<Checkpoint> due;
        synchronized (this) {
            if (!running) {
                return;
            }
            long nowMillis = time.monotonicMillis();
            edits.settle(reader.fold().catalogue(), nowMillis);
            exchange.tick(reader.isLogOut() || reader.isMissingRecords(), nowMillis);
            due = dueCheckpoint(nowMillis);
        }
        due.ifPresent(this::publish);
        time.schedule(settings.tickMillis(), this::tick);
    }

    private Optional<Checkpoint> dueCheckpoint(long nowMillis) {
        long coveredOffset = reader.fold().coveredOffset();
        if (!reader.isCaughtUp() || reader.isLogOut() || coveredOffset < 0) {
            return Optional.empty();
        }
        checkpoints.onProgress(coveredOffset, nowMillis);
        if (!checkpoints.takeDue(coveredOffset, nowMillis)) {
            return Optional.empty();
        }
        return Optional.of(new Checkpoint(newId(), reader.fold().snapshot()));
    }

    private String newId() {
        return settings.instance() + "-" + Long.toHexString(random.nextLong());
    }

    private void onFolded(FoldedRecord folded) {
        if (folded.record() instanceof Checkpoint checkpoint) {
            checkpoints.onCheckpoint(checkpoint.snapshot().coveredOffset());
        }
    }

    private synchronized void afterRead() {
        // While it catches up, a starter passes through old revisions; serving them would show callers a catalogue
        // that has long been replaced.
        if (reader.isCaughtUp()) {
            holder.offer(reader.fold().catalogue().catalogue());
        }
        edits.settle(reader.fold().catalogue(), time.monotonicMillis());
    }

    private record CatalogueEditIntake(Optional<ControlRecord> edit, CompletionStage<ApplyResult> answer) {}

    /** Takes the lock around the reader and logs what an operator should see. */
    private final class Feed implements FollowerListener {

        @Override
        public void onRecords(ReadResult.Records records) {
            synchronized (ControlNode.this) {
                reader.onRecords(records);
                afterRead();
            }
        }

        @Override
        public void onExpired(ReadResult.Expired expired) {
            synchronized (ControlNode.this) {
                LogEvent.of("control_records_expired")
                        .with("read", reader.fold().coveredOffset())
                        .with("first_retained", expired.firstRetainedOffset())
                        .warn(log);
                reader.onExpired(expired);
            }
        }

        @Override
        public void onUnavailable(String detail) {
            synchronized (ControlNode.this) {
                if (!reader.isLogOut()) {
                    LogEvent.of("control_log_out").with("detail", detail).warn(log);
                }
                reader.onUnavailable(detail);
            }
        }
    }
}
