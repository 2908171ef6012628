package org.dogwoodwinch.control;

/** Hears what the fold made of each record, in log order. */
@FunctionalInterface
public interface FoldListener {

    /**
     * Takes one record.
     *
     * @param folded the record and what became of it, not null
     */
    void onFolded(FoldedRecord folded);
}
