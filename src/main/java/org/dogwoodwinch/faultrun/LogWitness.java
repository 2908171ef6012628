package org.dogwoodwinch.faultrun;

import java.util.Objects;
import org.dogwoodwinch.authority.AuthorityRecord;
import org.dogwoodwinch.catalogue.CatalogueEdit;
import org.dogwoodwinch.control.AppliedRecord;
import org.dogwoodwinch.control.ControlCodec;
import org.dogwoodwinch.control.ControlSnapshot;
import org.dogwoodwinch.control.ControlStateMachine;
import org.dogwoodwinch.controllog.FollowerListener;
import org.dogwoodwinch.controllog.FollowerSettings;
import org.dogwoodwinch.controllog.LogFollower;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.history.CatalogueEvent;
import org.dogwoodwinch.history.HistoryRecorder;
import org.dogwoodwinch.history.OrderEvent;
import org.dogwoodwinch.time.TimeSource;

/** Folds the control stream beside the daemons and writes down what it decided: edits, holders and intents. */
final class LogWitness implements FollowerListener {

    private final TimeSource time;
    private final HistoryRecorder history;
    private final ControlStateMachine fold = new ControlStateMachine(new ControlCodec(), ControlSnapshot.EMPTY);
    private final LogFollower follower;

    /**
     * Creates a witness that does not read yet.
     *
     * @param log the log, not null
     * @param time gives the run's common time of day and runs the timers, not null
     * @param history takes the events, not null
     */
    LogWitness(LogService log, TimeSource time, HistoryRecorder history) {
        this.time = Objects.requireNonNull(time, "time");
        this.history = Objects.requireNonNull(history, "history");
        this.follower = new LogFollower(log, FollowerSettings.CONTROL_STREAM, time, this);
    }

    /** Reads from the beginning on. */
    void start() {
        follower.start(0);
    }

    /** Reads no further. */
    void stop() {
        follower.stop();
    }

    /**
     * Returns the revision in force by the log.
     *
     * @return the revision
     */
    synchronized long revision() {
        return fold.catalogueState().catalogue().revision();
    }

    @Override
    public synchronized void onRecords(ReadResult.Records records) {
        records.records()
                .forEach(record ->
                        fold.apply(record).filter(AppliedRecord::accepted).ifPresent(this::write));
    }

    @Override
    public void onExpired(ReadResult.Expired expired) {
        throw new IllegalStateException("the run outlived the log's retention: " + expired);
    }

    @Override
    public void onUnavailable(String _detail) {}

    private void write(AppliedRecord folded) {
        long nowMillis = time.wallMillis();
        if (folded.record() instanceof CatalogueEdit edit) {
            history.record(new CatalogueEvent.Edited(nowMillis, edit.id(), edit.baseRevision(), folded.offset()));
        } else if (folded.record() instanceof AuthorityRecord.LeaseClaim claim) {
            fold.authorityState().leases().leases().forEach((group, lease) -> {
                if (lease.epoch() == folded.offset()) {
                    history.record(new OrderEvent.AuthorityTaken(nowMillis, claim.holder(), group, lease.epoch()));
                }
            });
        } else if (folded.record() instanceof AuthorityRecord.OrderIntent intent) {
            history.record(new OrderEvent.Intended(
                    nowMillis,
                    intent.holder(),
                    intent.group(),
                    intent.engine(),
                    intent.id(),
                    intent.epoch(),
                    folded.offset(),
                    intent.configuration().toString()));
        }
    }
}
