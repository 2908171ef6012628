package org.dogwoodwinch.control;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.authority.PlanRecord;
import org.dogwoodwinch.catalogue.CatalogueView;
import org.dogwoodwinch.catalogue.EditRecord;

/** The operations that one instance offers to operators and to the role planner. Thread-safe. */
public interface ControlApi {

    /**
     * Returns a view of the catalogue in force on this instance.
     *
     * @return the view
     */
    CatalogueView catalogue();

    /**
     * Publishes an edit and waits until it is read back from the log, whose order decides its outcome.
     *
     * @param request the edit to publish, not null
     * @return completes within ten seconds with accepted, rejected, faulty or unknown yet
     */
    CompletionStage<ApplyResult> applyEdit(EditRequest request);

    /**
     * Returns the outcome of an edit.
     *
     * @param editId the id of the edit, not null
     * @return accepted, rejected or faulty; unknown yet if this instance has not read the edit from the log
     */
    ApplyResult editStatus(String editId);

    /**
     * Returns the most recent edits, including rejected ones.
     *
     * @return the edits, oldest first
     */
    List<EditRecord> history();

    /**
     * Publishes a planned change and waits until it is read back from the log. The change itself is carried out later.
     *
     * @param request the requested change, not null
     * @return completes within ten seconds with the outcome
     */
    CompletionStage<PlanAnswer> requestPlan(PlanRequest request);

    /**
     * Cancels a planned change. This succeeds only while the order for the change is not on the log yet.
     *
     * @param planId the id of the plan, not null
     * @param author the author of the cancellation, not null
     * @return completes within ten seconds with the outcome
     */
    CompletionStage<PlanAnswer> cancelPlan(String planId, String author);

    /**
     * Returns the progress of a planned change.
     *
     * @param planId the id of the plan, not null
     * @return the answer; unknown yet if this instance has not read the plan from the log or no longer retains it
     */
    PlanAnswer planStatus(String planId);

    /**
     * Returns the planned changes in progress and the most recently finished ones.
     *
     * @return the plans in the order of their requests
     */
    List<PlanRecord> plans();

    /**
     * Returns the targets that must not receive new requests: draining, drained, being changed or withdrawn.
     *
     * @return the names of the targets
     */
    Set<String> outOfServiceTargets();

    /**
     * Returns the engine groups for which this instance currently holds the lease.
     *
     * @return the groups whose lease is valid on this instance
     */
    List<String> leasedGroups();

    /**
     * Returns the read position of this instance on the log and the state of its connection to the log.
     *
     * @return the status
     */
    ControlStatus status();
}
