package org.dogwoodwinch.control;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.authority.AuthorityAction;
import org.dogwoodwinch.authority.AuthorityAgent;
import org.dogwoodwinch.authority.AuthorityRecord;
import org.dogwoodwinch.authority.AuthorityState;
import org.dogwoodwinch.authority.PlanRecord;
import org.dogwoodwinch.catalogue.ActiveCatalogue;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueView;
import org.dogwoodwinch.catalogue.EditRecord;
import org.dogwoodwinch.catalogue.TargetGroup;
import org.dogwoodwinch.controllog.ControlRecord;
import org.dogwoodwinch.controllog.LogFollower;
import org.dogwoodwinch.external.AppendResult;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the control stream on this instance: follows the log, maintains the replicated state and the catalogue in force,
 * publishes edits and checkpoints, and executes the actions of the {@link AuthorityAgent}.
 *
 * <p>It has no thread of its own: completions of the log client and timers of the {@link TimeSource} drive it, all
 * under one lock. Thread-safe. Catalogue listeners are called under that lock and must not block.
 */
public final class ControlNode implements ControlApi {

    private static final Logger log = LoggerFactory.getLogger(ControlNode.class);
    private static final long ANSWER_TIMEOUT_MILLIS = 9_500;
    private static final String NOT_CAUGHT_UP = "this instance has not read the log to its end yet";

    private final ControlSettings settings;
    private final ControlServices services;
    private final TimeSource time;
    private final UniformRandomProvider random;
    private final ControlCodec codec = new ControlCodec();
    private final ActiveCatalogue catalogueHolder = new ActiveCatalogue();
    private final EditProcessor editProcessor = new EditProcessor(this::runAsync);
    private final PendingRecords pendingRecords = new PendingRecords(this::runAsync);
    private final CheckpointSchedule checkpointSchedule;
    private final CatalogueExchange catalogueExchange;
    private final ControlReader reader;
    private final LogFollower follower;
    private final AuthorityAgent agent;
    private final AuthorityRunner runner;
    private final AtomicLong appendCount = new AtomicLong();
    private boolean running;
    private boolean stopping;
    private boolean decisionScheduled;

    /**
     * Creates a node. It follows the log once {@link #start()} is called.
     *
     * @param settings the settings of this instance, not null
     * @param services the external services that the node uses, not null
     * @param policies the safety policies, the same on every instance, not null
     * @param time provides the time and runs the timers, not null
     * @param random source of timer jitter and ids, not null; used only under the lock of this node
     */
    public ControlNode(
            ControlSettings settings,
            ControlServices services,
            ControlPolicies policies,
            TimeSource time,
            UniformRandomProvider random) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.services = Objects.requireNonNull(services, "services");
        this.time = Objects.requireNonNull(time, "time");
        this.random = Objects.requireNonNull(random, "random");
        this.checkpointSchedule =
                new CheckpointSchedule(settings.checkpointMillis(), settings.checkpointRecords(), random);
        this.catalogueExchange = new CatalogueExchange(
                services.peerBoard(),
                catalogueHolder,
                services.isCataloguePublisher(),
                settings.peerCollectionMillis());
        this.reader = new ControlReader(codec, policies.checkpointRule(), this::onApplied);
        this.follower = new LogFollower(
                services.log(), settings.follower(), time, new LockedReader(this, reader, this::afterRead));
        // A restarted process does not know when its predecessor sent lease renewals, so it takes a new id and cannot
        // use the leases of its predecessor.
        this.agent = new AuthorityAgent(
                newId(),
                policies.leasePolicy(),
                policies.orderPolicy(),
                this::newId,
                services.fleet(),
                services.targetActivity(),
                this::checksFencing);
        this.runner = new AuthorityRunner(agent, services, time, new AgentAccess(), this::publish);
    }

    /** Starts following the log. Has no effect if the node is already running. */
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

    /**
     * Releases the leases of this instance unless the answer to an order is outstanding, so that successors need not
     * wait for the leases to expire. The node takes no further decisions but follows the log until {@link #stop()}.
     */
    public void releaseLeases() {
        Optional<AuthorityRecord> release;
        synchronized (this) {
            stopping = true;
            release = agent.releaseAll(reader.stateMachine().authorityState());
        }
        release.ifPresent(this::publish);
    }

    /** Stops following the log. Further calls have no effect. */
    public void stop() {
        synchronized (this) {
            running = false;
        }
        follower.stop();
    }

    @Override
    public CatalogueView catalogue() {
        return catalogueHolder;
    }

    @Override
    public CompletionStage<ApplyResult> applyEdit(EditRequest request) {
        EditProcessor.Decision decision;
        CompletionStage<ApplyResult> answer;
        synchronized (this) {
            decision = reader.isCaughtUp()
                    ? editProcessor.prepare(request, reader.stateMachine().catalogueState(), time.wallMillis())
                    : EditProcessor.Decision.withResult(new ApplyResult.UnknownYet(request.editId(), NOT_CAUGHT_UP));
            answer = decision.result()
                    .<CompletionStage<ApplyResult>>map(CompletableFuture::completedFuture)
                    .orElseGet(() ->
                            editProcessor.await(request.editId(), time.monotonicMillis() + ANSWER_TIMEOUT_MILLIS));
        }
        decision.edit().ifPresent(this::publish);
        return answer;
    }

    @Override
    public synchronized ApplyResult editStatus(String editId) {
        return reader.stateMachine()
                .catalogueState()
                .find(editId)
                .map(EditProcessor::result)
                .orElseGet(
                        () -> new ApplyResult.UnknownYet(editId, "this instance has not read the edit from the log"));
    }

    @Override
    public synchronized List<EditRecord> history() {
        return reader.stateMachine().catalogueState().history();
    }

    @Override
    public CompletionStage<PlanAnswer> requestPlan(PlanRequest request) {
        AuthorityRecord record;
        synchronized (this) {
            Optional<PlanRecord> existing =
                    reader.stateMachine().authorityState().plans().plan(request.planId());
            if (existing.isPresent() || !reader.isCaughtUp()) {
                return CompletableFuture.completedFuture(
                        existing.isPresent()
                                ? PlanAnswer.of(request.planId(), existing)
                                : PlanAnswer.unknownYet(request.planId(), NOT_CAUGHT_UP));
            }
            PlanValidator.Result validation =
                    PlanValidator.validate(request.change(), services.fleet().engines());
            if (validation.error().isPresent()) {
                return CompletableFuture.completedFuture(
                        PlanAnswer.refused(request.planId(), validation.error().get()));
            }
            record = new AuthorityRecord.PlanRequested(
                    request.planId(),
                    request.author(),
                    time.wallMillis(),
                    reader.stateMachine().coveredOffset(),
                    validation.change().orElseThrow());
        }
        return publishAndAwait(record, request.planId());
    }

    @Override
    public CompletionStage<PlanAnswer> cancelPlan(String planId, String author) {
        AuthorityRecord record;
        synchronized (this) {
            record = new AuthorityRecord.PlanCancelled(newId(), author, planId);
        }
        return publishAndAwait(record, planId);
    }

    @Override
    public synchronized PlanAnswer planStatus(String planId) {
        return PlanAnswer.of(
                planId, reader.stateMachine().authorityState().plans().plan(planId));
    }

    @Override
    public synchronized List<PlanRecord> plans() {
        return List.copyOf(reader.stateMachine().authorityState().plans().plans());
    }

    @Override
    public synchronized Set<String> outOfServiceTargets() {
        return reader.stateMachine().authorityState().plans().outOfService();
    }

    @Override
    public synchronized List<String> leasedGroups() {
        return agent.heldGroups(reader.stateMachine().authorityState(), time.monotonicMillis());
    }

    @Override
    public synchronized ControlStatus status() {
        return new ControlStatus(
                settings.instance(),
                catalogueHolder.current().map(Catalogue::revision).orElse(Catalogue.NO_REVISION),
                reader.stateMachine().coveredOffset(),
                reader.endOffset(),
                reader.isCaughtUp(),
                reader.isLogUnavailable(),
                appendCount.get());
    }

    /**
     * Returns a snapshot of the replicated state for diagnostics and for comparing instances: instances that cover the
     * same offset hold the same state.
     *
     * @return the snapshot
     */
    public synchronized ControlSnapshot snapshot() {
        return reader.stateMachine().snapshot();
    }

    private CompletionStage<PlanAnswer> publishAndAwait(AuthorityRecord record, String planId) {
        CompletionStage<Optional<AppliedRecord>> appliedFuture;
        synchronized (this) {
            appliedFuture = pendingRecords.await(record.id(), time.monotonicMillis() + ANSWER_TIMEOUT_MILLIS);
        }
        publish(record);
        return appliedFuture.thenApply(
                applied -> applied.isPresent() && !applied.get().accepted()
                        ? PlanAnswer.refused(planId, applied.get().rejectionReason())
                        : planStatus(planId));
    }

    private void publish(ControlRecord record) {
        appendCount.incrementAndGet();
        services.log()
                .append(settings.follower().stream(), codec.encode(record))
                .whenComplete((result, failure) -> logAppend(record, result, failure));
    }

    private static void logAppend(ControlRecord record, AppendResult result, Throwable failure) {
        if (failure != null || !(result instanceof AppendResult.Appended)) {
            LogEvent.of("control_append_not_confirmed")
                    .with("kind", record.getClass().getSimpleName())
                    .with("id", record.id())
                    .with("detail", failure != null ? failure : result)
                    .debug(log);
        }
    }

    private void tick() {
        Optional<Checkpoint> checkpoint;
        synchronized (this) {
            if (!running) {
                return;
            }
            long nowMillis = time.monotonicMillis();
            editProcessor.completePending(reader.stateMachine().catalogueState(), nowMillis);
            pendingRecords.expire(nowMillis);
            catalogueExchange.tick(reader.isLogUnavailable() || reader.isMissingRecords(), nowMillis);
            checkpoint = dueCheckpoint(nowMillis);
        }
        checkpoint.ifPresent(this::publish);
        decide();
        time.schedule(settings.tickMillis(), this::tick);
    }

    private Optional<Checkpoint> dueCheckpoint(long nowMillis) {
        long coveredOffset = reader.stateMachine().coveredOffset();
        if (!reader.isCaughtUp() || reader.isLogUnavailable() || coveredOffset < 0) {
            return Optional.empty();
        }
        checkpointSchedule.onProgress(coveredOffset, nowMillis);
        if (!checkpointSchedule.takeDue(coveredOffset, nowMillis)) {
            return Optional.empty();
        }
        return Optional.of(new Checkpoint(newId(), reader.stateMachine().snapshot()));
    }

    private void decide() {
        List<AuthorityAction> actions;
        synchronized (this) {
            decisionScheduled = false;
            if (!running || stopping || !reader.isCaughtUp()) {
                return;
            }
            actions = agent.decide(
                    reader.stateMachine().authorityState(), reader.isLogUnavailable(), time.monotonicMillis());
        }
        runner.run(actions);
    }

    /** Must be called under the lock. */
    private void scheduleDecision() {
        if (!decisionScheduled && running) {
            decisionScheduled = true;
            runAsync(this::decide);
        }
    }

    private void runAsync(Runnable task) {
        time.schedule(0, task);
    }

    private String newId() {
        return settings.instance() + "-" + Long.toHexString(random.nextLong());
    }

    private boolean checksFencing(String group) {
        return reader.stateMachine()
                .catalogueState()
                .catalogue()
                .group(group)
                .filter(TargetGroup::checksFencing)
                .isPresent();
    }

    private void onApplied(AppliedRecord applied) {
        pendingRecords.onApplied(applied);
        if (applied.record() instanceof Checkpoint checkpoint) {
            checkpointSchedule.onCheckpoint(checkpoint.snapshot().coveredOffset());
        } else if (applied.record() instanceof AuthorityRecord record) {
            agent.onRecordApplied(reader.stateMachine().authorityState(), applied.offset(), record);
        }
    }

    private void afterRead() {
        // While it catches up, a starting instance passes through old revisions. Serving them would expose a catalogue
        // that was replaced long ago.
        if (reader.isCaughtUp()) {
            catalogueHolder.replaceIfNewer(
                    reader.stateMachine().catalogueState().catalogue());
        }
        editProcessor.completePending(reader.stateMachine().catalogueState(), time.monotonicMillis());
        scheduleDecision();
    }

    /** Gives the runner access to the agent under the lock of this node. */
    private final class AgentAccess implements AuthorityRunner.LockedAccess {

        @Override
        public void update(Consumer<AuthorityState> action) {
            synchronized (ControlNode.this) {
                action.accept(reader.stateMachine().authorityState());
                scheduleDecision();
            }
        }

        @Override
        public boolean query(Predicate<AuthorityState> predicate) {
            synchronized (ControlNode.this) {
                return predicate.test(reader.stateMachine().authorityState());
            }
        }
    }
}
