package org.dogwoodwinch.control;

/** Receives each record that was applied to the state machine, in log order. */
@FunctionalInterface
public interface AppliedRecordListener {

    /**
     * Called after a record was applied.
     *
     * @param applied the record and whether it was accepted, not null
     */
    void onApplied(AppliedRecord applied);
}
