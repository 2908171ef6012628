package org.dogwoodwinch.control;

import java.util.Optional;
import org.dogwoodwinch.authority.AuthorityFold;
import org.dogwoodwinch.authority.AuthorityRecord;
import org.dogwoodwinch.catalogue.CatalogueEdit;
import org.dogwoodwinch.catalogue.CatalogueFold;
import org.dogwoodwinch.catalogue.EditOutcome;
import org.dogwoodwinch.controllog.ControlRecord;
import org.dogwoodwinch.external.LogRecord;

/**
 * The state that the control stream makes, read in offset order. Not thread-safe.
 *
 * <p>It looks at nothing but the records: no clock, no settings, no chance. Two instances that have read up to the same
 * offset therefore hold the same state, and what the fold accepts is accepted everywhere.
 */
public final class ControlFold {

    private final ControlCodec codec;
    private final RecentIds recentIds;
    private final CatalogueFold catalogue;
    private final AuthorityFold authority;
    private long coveredOffset;

    /**
     * Creates the fold as it was left.
     *
     * @param codec reads the records, not null
     * @param snapshot the state to go on from, not null
     */
    public ControlFold(ControlCodec codec, ControlSnapshot snapshot) {
        this.codec = codec;
        this.coveredOffset = snapshot.coveredOffset();
        this.recentIds = new RecentIds(snapshot.recentIds());
        this.catalogue = new CatalogueFold(snapshot.catalogue(), snapshot.edits());
        this.authority = new AuthorityFold(snapshot.authority());
    }

    /**
     * Reads one record; one at or before the covered offset is passed over.
     *
     * @param logRecord the record, not null
     * @return what became of it, or empty where it was passed over or is no control record
     */
    public Optional<FoldedRecord> apply(LogRecord logRecord) {
        if (logRecord.offset() <= coveredOffset) {
            return Optional.empty();
        }
        coveredOffset = logRecord.offset();
        return codec.decode(logRecord.payload()).map(record -> applyRecord(logRecord.offset(), record));
    }

    /**
     * Returns the last offset that was read.
     *
     * @return the offset; -1 before the first
     */
    public long coveredOffset() {
        return coveredOffset;
    }

    /**
     * Returns the catalogue's part of the state.
     *
     * @return the fold of the edits
     */
    public CatalogueFold catalogue() {
        return catalogue;
    }

    /**
     * Returns the part of the state that leases, orders and plans make.
     *
     * @return the fold of their records
     */
    public AuthorityFold authority() {
        return authority;
    }

    /**
     * Copies the state.
     *
     * @return the copy
     */
    public ControlSnapshot snapshot() {
        return new ControlSnapshot(
                coveredOffset, recentIds.snapshot(), catalogue.catalogue(), catalogue.history(), authority.snapshot());
    }

    private FoldedRecord applyRecord(long offset, ControlRecord record) {
        if (record instanceof Checkpoint) {
            return new FoldedRecord(offset, record, true, "");
        }
        if (!recentIds.add(record.id())) {
            return new FoldedRecord(offset, record, false, "read before");
        }
        if (record instanceof CatalogueEdit edit) {
            String detail = catalogue
                    .apply(offset, edit)
                    .match(
                            _applied -> "",
                            rejected -> "revision " + rejected.winnerRevision() + " is in force",
                            EditOutcome.Invalid::detail);
            return new FoldedRecord(offset, record, detail.isEmpty(), detail);
        }
        if (record instanceof AuthorityRecord authorityRecord) {
            Optional<String> reason = authority.apply(offset, authorityRecord);
            return new FoldedRecord(offset, record, reason.isEmpty(), reason.orElse(""));
        }
        return new FoldedRecord(offset, record, false, "unknown kind");
    }
}
