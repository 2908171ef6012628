package org.dogwoodwinch.control;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.catalogue.CatalogueView;
import org.dogwoodwinch.catalogue.EditRecord;

/** What operators ask of one instance; the operators' listener and tests call it. Thread-safe. */
public interface ControlApi {

    /**
     * Returns the catalogue in force on this instance.
     *
     * @return the view
     */
    CatalogueView catalogue();

    /**
     * Publishes an edit and waits for the log to decide.
     *
     * @param request the edit, not null
     * @return completes within ten seconds with accepted, rejected, faulty or unknown-yet
     */
    CompletionStage<ApplyResult> applyEdit(EditRequest request);

    /**
     * Asks what became of an edit.
     *
     * @param editId the edit, not null
     * @return accepted, rejected, faulty, or unknown-yet where this instance has not read it
     */
    ApplyResult editStatus(String editId);

    /**
     * Returns the last edits, accepted or not.
     *
     * @return the lines, oldest first
     */
    List<EditRecord> history();

    /**
     * Returns how far this instance has read the log.
     *
     * @return the figures
     */
    ControlStatus status();
}
