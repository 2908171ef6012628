package org.dogwoodwinch.control;

/** Hears what the fold made of each record, in log order. */
@FunctionalInterface
public interface AppliedRecordListener {

    /**
     * Takes one record.
     *
     * @param applied the record and what became of it, not null
     */
    void onApplied(FoldedRecord applied);
}
