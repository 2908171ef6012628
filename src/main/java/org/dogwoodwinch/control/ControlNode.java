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
 * This instance's part in the control stream: it follows the log, keeps the fold and the catalogue in force, publishes
 * edits and checkpoints, and carries out what {@link AuthorityAgent} decides.
 *
 * <p>It has no thread of its own: the log client's completions and timers of the {@link TimeSource} drive it, all under
 * one lock. Thread-safe. Listeners of the catalogue are called under that lock and must not wait.
 */
public final class ControlNode implements ControlApi {

    private static final Logger log = LoggerFactory.getLogger(ControlNode.class);
    private static final long ANSWER_MILLIS = 9_500;
    private static final String NOT_CAUGHT_UP = "this instance has not read the log to its end yet";

    private final ControlSettings settings;
    private final ControlServices services;
    private final TimeSource time;
    private final UniformRandomProvider random;
    private final ControlCodec codec = new ControlCodec();
    private final ActiveCatalogue holder = new ActiveCatalogue();
    private final EditDesk edits = new EditDesk(this::later);
    private final ReadBacks readBacks = new ReadBacks(this::later);
    private final CheckpointClock checkpoints;
    private final CatalogueExchange exchange;
    private final ControlReader reader;
    private final LogFollower follower;
    private final AuthorityAgent agent;
    private final AuthorityRunner runner;
    private final AtomicLong appendCount = new AtomicLong();
    private boolean running;
    private boolean stopping;
    private boolean decisionScheduled;

    /**
     * Creates a node that does not run yet.
     *
     * @param settings how it takes part, not null
     * @param services what it reaches outside itself, not null
     * @param policies the rules that keep the stream safe, not null
     * @param time gives the time and runs the timers, not null
     * @param random spreads the instances' timers and makes ids, not null; used under this node's lock alone
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
        this.checkpoints = new CheckpointClock(settings.checkpointMillis(), settings.checkpointRecords(), random);
        this.exchange = new CatalogueExchange(
                services.board(), holder, services.publishesToPeers(), settings.peerGatherMillis());
        this.reader = new ControlReader(codec, policies.checkpoints(), this::onFolded);
        this.follower = new LogFollower(
                services.log(), settings.follower(), time, new LockedReader(this, reader, this::afterRead));
        // A restarted process has forgotten when it sent its renewals, so it must not pass for its predecessor.
        this.agent = new AuthorityAgent(
                newId(),
                policies.leases(),
                policies.orders(),
                this::newId,
                services.fleet(),
                services.activity(),
                this::checksFencing);
        this.runner = new AuthorityRunner(agent, services, time, new AgentAccess(), this::publish);
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

    /**
     * Gives the leases back, as far as no order is under way, so that successors need not wait out the term; the node
     * decides nothing more but still follows the log until {@link #stop()}.
     */
    public void release() {
        Optional<AuthorityRecord> release;
        synchronized (this) {
            stopping = true;
            release = agent.releaseAll(reader.fold().authority());
        }
        release.ifPresent(this::publish);
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
        EditDesk.Intake intake;
        CompletionStage<ApplyResult> answer;
        synchronized (this) {
            intake = reader.isCaughtUp()
                    ? edits.take(request, reader.fold().catalogue(), time.wallMillis())
                    : EditDesk.Intake.answered(new ApplyResult.UnknownYet(request.editId(), NOT_CAUGHT_UP));
            answer = intake.answer()
                    .<CompletionStage<ApplyResult>>map(CompletableFuture::completedFuture)
                    .orElseGet(() -> edits.await(request.editId(), time.monotonicMillis() + ANSWER_MILLIS));
        }
        intake.edit().ifPresent(this::publish);
        return answer;
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
    public CompletionStage<PlanAnswer> requestPlan(PlanRequest request) {
        AuthorityRecord record;
        synchronized (this) {
            Optional<PlanRecord> known = reader.fold().authority().plans().plan(request.planId());
            if (known.isPresent() || !reader.isCaughtUp()) {
                return CompletableFuture.completedFuture(
                        known.isPresent()
                                ? PlanAnswer.of(request.planId(), known)
                                : PlanAnswer.unknownYet(request.planId(), NOT_CAUGHT_UP));
            }
            PlanChecks.Checked checked =
                    PlanChecks.check(request.change(), services.fleet().engines());
            if (checked.fault().isPresent()) {
                return CompletableFuture.completedFuture(
                        PlanAnswer.refused(request.planId(), checked.fault().get()));
            }
            record = new AuthorityRecord.PlanRequested(
                    request.planId(),
                    request.author(),
                    time.wallMillis(),
                    reader.fold().coveredOffset(),
                    checked.change().orElseThrow());
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
        return PlanAnswer.of(planId, reader.fold().authority().plans().plan(planId));
    }

    @Override
    public synchronized List<PlanRecord> plans() {
        return List.copyOf(reader.fold().authority().plans().plans());
    }

    @Override
    public synchronized Set<String> outOfService() {
        return reader.fold().authority().plans().outOfService();
    }

    @Override
    public synchronized List<String> liveGroups() {
        return agent.heldGroups(reader.fold().authority(), time.monotonicMillis());
    }

    @Override
    public synchronized ControlStatus status() {
        return new ControlStatus(
                settings.instance(),
                holder.current().map(Catalogue::revision).orElse(Catalogue.NO_REVISION),
                reader.fold().coveredOffset(),
                reader.endOffset(),
                reader.isCaughtUp(),
                reader.isLogOut(),
                appendCount.get());
    }

    /**
     * Copies the folded state, for support and for comparing instances: two that cover the same offset hold the same.
     *
     * @return the copy
     */
    public synchronized ControlSnapshot snapshot() {
        return reader.fold().snapshot();
    }

    private CompletionStage<PlanAnswer> publishAndAwait(AuthorityRecord record, String planId) {
        CompletionStage<Optional<FoldedRecord>> readBack;
        synchronized (this) {
            readBack = readBacks.await(record.id(), time.monotonicMillis() + ANSWER_MILLIS);
        }
        publish(record);
        return readBack.thenApply(folded -> folded.isPresent() && !folded.get().accepted()
                ? PlanAnswer.refused(planId, folded.get().detail())
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
        Optional<Checkpoint> due;
        synchronized (this) {
            if (!running) {
                return;
            }
            long nowMillis = time.monotonicMillis();
            edits.settle(reader.fold().catalogue(), nowMillis);
            readBacks.expire(nowMillis);
            exchange.tick(reader.isLogOut() || reader.isMissingRecords(), nowMillis);
            due = dueCheckpoint(nowMillis);
        }
        due.ifPresent(this::publish);
        decide();
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

    private void decide() {
        List<AuthorityAction> actions;
        synchronized (this) {
            decisionScheduled = false;
            if (!running || stopping || !reader.isCaughtUp()) {
                return;
            }
            actions = agent.decide(reader.fold().authority(), reader.isLogOut(), time.monotonicMillis());
        }
        runner.run(actions);
    }

    /** To be called under the lock. */
    private void decideSoon() {
        if (!decisionScheduled && running) {
            decisionScheduled = true;
            later(this::decide);
        }
    }

    private void later(Runnable task) {
        time.schedule(0, task);
    }

    private String newId() {
        return settings.instance() + "-" + Long.toHexString(random.nextLong());
    }

    private boolean checksFencing(String group) {
        return reader.fold()
                .catalogue()
                .catalogue()
                .group(group)
                .filter(TargetGroup::checksFencing)
                .isPresent();
    }

    private void onFolded(FoldedRecord folded) {
        readBacks.onFolded(folded);
        if (folded.record() instanceof Checkpoint checkpoint) {
            checkpoints.onCheckpoint(checkpoint.snapshot().coveredOffset());
        } else if (folded.record() instanceof AuthorityRecord record) {
            agent.onRecordApplied(reader.fold().authority(), folded.offset(), record);
        }
    }

    private void afterRead() {
        // While it catches up, a starter passes through old revisions; serving them would show callers a catalogue
        // that has long been replaced.
        if (reader.isCaughtUp()) {
            holder.replaceIfNewer(reader.fold().catalogue().catalogue());
        }
        edits.settle(reader.fold().catalogue(), time.monotonicMillis());
        decideSoon();
    }

    /** Lets the runner use the agent under this node's lock. */
    private final class AgentAccess implements AuthorityRunner.Access {

        @Override
        public void use(Consumer<AuthorityState> use) {
            synchronized (ControlNode.this) {
                use.accept(reader.fold().authority());
                decideSoon();
            }
        }

        @Override
        public boolean ask(Predicate<AuthorityState> question) {
            synchronized (ControlNode.this) {
                return question.test(reader.fold().authority());
            }
        }
    }
}
