package org.dogwoodwinch.control;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.authority.PlanRecord;
import org.dogwoodwinch.catalogue.CatalogueView;
import org.dogwoodwinch.catalogue.EditRecord;

/** What operators and the role planner ask of one instance. Thread-safe. */
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
     * Publishes a planned change and waits for the log to take it; carrying it out takes longer.
     *
     * @param request the change, not null
     * @return completes within ten seconds
     */
    CompletionStage<PlanAnswer> requestPlan(PlanRequest request);

    /**
     * Cancels a planned change whose order is not on the log yet.
     *
     * @param planId the plan, not null
     * @param author who cancels, not null
     * @return completes within ten seconds
     */
    CompletionStage<PlanAnswer> cancelPlan(String planId, String author);

    /**
     * Asks how far a planned change is.
     *
     * @param planId the plan, not null
     * @return the answer; unknown-yet where this instance has not read it, or has forgotten it
     */
    PlanAnswer planStatus(String planId);

    /**
     * Returns the planned changes under way and the last ones that are over.
     *
     * @return the plans in order of their requests
     */
    List<PlanRecord> plans();

    /**
     * Returns the targets that must get no new work: draining, drained, being changed, withdrawn.
     *
     * @return their names
     */
    Set<String> outOfService();

    /**
     * Returns the engine groups that this instance may act for now.
     *
     * @return the groups whose lease is live here
     */
    List<String> liveGroups();

    /**
     * Returns how far this instance has read the log.
     *
     * @return the figures
     */
    ControlStatus status();
}
