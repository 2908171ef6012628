package org.dogwoodwinch.control;

import java.util.Optional;
import org.dogwoodwinch.authority.AuthorityRecord;
import org.dogwoodwinch.authority.AuthorityState;
import org.dogwoodwinch.catalogue.CatalogueEdit;
import org.dogwoodwinch.catalogue.CatalogueState;
import org.dogwoodwinch.catalogue.EditOutcome;
import org.dogwoodwinch.controllog.ControlRecord;
import org.dogwoodwinch.external.LogRecord;

/**
 * A replicated state machine that applies the records of the control stream in offset order. Not thread-safe.
 *
 * <p>Its state depends on the records alone: it uses no clock, no settings and no randomness. Instances that have read
 * up to the same offset therefore hold the same state, and a record that is accepted on one instance is accepted on
 * all.
 */
public final class ControlStateMachine {

    private final ControlCodec codec;
    private final RecentIds recentIds;
    private final CatalogueState catalogueState;
    private final AuthorityState authorityState;
    private long coveredOffset;

    /**
     * Restores the state machine from a snapshot.
     *
     * @param codec decodes the records, not null
     * @param snapshot the state to continue from, not null
     */
    public ControlStateMachine(ControlCodec codec, ControlSnapshot snapshot) {
        this.codec = codec;
        this.coveredOffset = snapshot.coveredOffset();
        this.recentIds = new RecentIds(snapshot.recentIds());
        this.catalogueState = new CatalogueState(snapshot.catalogue(), snapshot.edits());
        this.authorityState = new AuthorityState(snapshot.authority());
    }

    /**
     * Applies one record. A record at or before the covered offset is skipped.
     *
     * @param logRecord the record, not null
     * @return the outcome, or empty if the record was skipped or cannot be decoded as a control record
     */
    public Optional<AppliedRecord> apply(LogRecord logRecord) {
        if (logRecord.offset() <= coveredOffset) {
            return Optional.empty();
        }
        coveredOffset = logRecord.offset();
        return codec.decode(logRecord.payload()).map(record -> applyRecord(logRecord.offset(), record));
    }

    /**
     * Returns the last offset that was applied.
     *
     * @return the offset; -1 before the first record
     */
    public long coveredOffset() {
        return coveredOffset;
    }

    /**
     * Returns the state of the catalogue.
     *
     * @return the state that results from the catalogue edits
     */
    public CatalogueState catalogueState() {
        return catalogueState;
    }

    /**
     * Returns the state of leases, orders and plans.
     *
     * @return the state that results from the authority records
     */
    public AuthorityState authorityState() {
        return authorityState;
    }

    /**
     * Returns a snapshot of the state.
     *
     * @return the snapshot
     */
    public ControlSnapshot snapshot() {
        return new ControlSnapshot(
                coveredOffset,
                recentIds.snapshot(),
                catalogueState.catalogue(),
                catalogueState.history(),
                authorityState.snapshot());
    }

    private AppliedRecord applyRecord(long offset, ControlRecord record) {
        if (record instanceof Checkpoint) {
            return new AppliedRecord(offset, record, true, "");
        }
        if (!recentIds.add(record.id())) {
            return new AppliedRecord(offset, record, false, "duplicate record id");
        }
        if (record instanceof CatalogueEdit edit) {
            String detail = catalogueState
                    .apply(offset, edit)
                    .match(
                            _applied -> "",
                            rejected -> "conflicts with current revision " + rejected.winnerRevision(),
                            EditOutcome.Invalid::detail);
            return new AppliedRecord(offset, record, detail.isEmpty(), detail);
        }
        if (record instanceof AuthorityRecord authorityRecord) {
            Optional<String> reason = authorityState.apply(offset, authorityRecord);
            return new AppliedRecord(offset, record, reason.isEmpty(), reason.orElse(""));
        }
        return new AppliedRecord(offset, record, false, "unknown kind of record");
    }
}
