package org.dogwoodwinch.control;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueChange;
import org.dogwoodwinch.catalogue.CatalogueCodec;
import org.dogwoodwinch.catalogue.CatalogueEdit;
import org.dogwoodwinch.catalogue.CatalogueProblem;
import org.dogwoodwinch.catalogue.CatalogueState;
import org.dogwoodwinch.catalogue.EditRecord;

/**
 * Validates operators' edits, prepares them for publication and completes their results once they are read back from
 * the log. Not thread-safe: its owner calls it under one lock.
 */
final class EditProcessor {

    private static final int MAX_PENDING_EDITS = 1_000;

    private final CatalogueCodec codec = new CatalogueCodec();
    private final Map<String, PendingEdit> pendingEdits = new HashMap<>();
    private final Consumer<Runnable> executor;

    /**
     * Creates a processor.
     *
     * @param executor runs tasks asynchronously and outside the owner's lock, so that completed futures may call back
     *     into the owner, not null
     */
    EditProcessor(Consumer<Runnable> executor) {
        this.executor = executor;
    }

    /**
     * Validates an edit and decides whether it needs to be published.
     *
     * @param request the edit, not null
     * @param catalogueState the catalogue state as of the last applied record, not null
     * @param wallMillis the wall-clock time, in milliseconds since 1970
     * @return the edit to publish, or the result if nothing needs to be published
     */
    Decision prepare(EditRequest request, CatalogueState catalogueState, long wallMillis) {
        Optional<EditRecord> earlier = catalogueState.find(request.editId());
        if (earlier.isPresent()) {
            return Decision.withResult(result(earlier.get()));
        }
        return codec.read(request.document())
                .match(
                        requested -> prepareValid(request, requested, catalogueState, wallMillis),
                        problems -> Decision.withResult(new ApplyResult.Faulty(request.editId(), problems)));
    }

    /**
     * Waits for an edit to be read back from the log.
     *
     * @param editId the id of the edit, not null
     * @param deadlineMillis the monotonic time at which the wait times out, in milliseconds
     * @return completes with the result, or with unknown yet after a timeout
     */
    CompletionStage<ApplyResult> await(String editId, long deadlineMillis) {
        if (pendingEdits.size() >= MAX_PENDING_EDITS) {
            return CompletableFuture.completedFuture(
                    new ApplyResult.UnknownYet(editId, "too many edits are pending on this instance"));
        }
        return pendingEdits
                .computeIfAbsent(editId, _id -> new PendingEdit(new CompletableFuture<>(), deadlineMillis))
                .future();
    }

    /**
     * Completes the pending edits that have been read back or whose deadline has passed.
     *
     * @param catalogueState the catalogue state as of the last applied record, not null
     * @param nowMillis the monotonic time in milliseconds
     */
    void completePending(CatalogueState catalogueState, long nowMillis) {
        Iterator<Map.Entry<String, PendingEdit>> iterator =
                pendingEdits.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<String, PendingEdit> entry = iterator.next();
            Optional<EditRecord> editRecord = catalogueState.find(entry.getKey());
            if (editRecord.isPresent()) {
                iterator.remove();
                complete(entry.getValue(), result(editRecord.get()));
            } else if (nowMillis >= entry.getValue().deadlineMillis()) {
                iterator.remove();
                complete(
                        entry.getValue(), new ApplyResult.UnknownYet(entry.getKey(), "not read back from the log yet"));
            }
        }
    }

    private void complete(PendingEdit pendingEdit, ApplyResult result) {
        executor.accept(() -> pendingEdit.future().complete(result));
    }

    /**
     * Converts an entry of the edit history to a result.
     *
     * @param editRecord the history entry, not null
     * @return the result
     */
    static ApplyResult result(EditRecord editRecord) {
        return editRecord
                .outcome()
                .match(
                        accepted -> new ApplyResult.Accepted(editRecord.id(), accepted.revision()),
                        rejected -> new ApplyResult.Rejected(
                                editRecord.id(),
                                rejected.winnerId(),
                                rejected.winnerAuthor(),
                                rejected.winnerRevision()),
                        invalid -> new ApplyResult.Faulty(
                                editRecord.id(), List.of(new CatalogueProblem("", invalid.detail()))));
    }

    private static Decision prepareValid(
            EditRequest request, Catalogue requested, CatalogueState catalogueState, long wallMillis) {
        Catalogue base = catalogueState.catalogue();
        if (requested.revision() > base.revision()) {
            return Decision.withResult(new ApplyResult.UnknownYet(
                    request.editId(), "this instance has not read revision " + requested.revision() + " yet"));
        }
        if (requested.revision() < base.revision()) {
            // The base revision has been replaced, so publishing the edit could only lead to its rejection. Answering
            // here saves an append.
            Optional<EditRecord> winner = catalogueState.history().stream()
                    .filter(editRecord -> editRecord.verdict() == EditRecord.Verdict.ACCEPTED
                            && editRecord.offset() == base.revision())
                    .findFirst();
            return Decision.withResult(new ApplyResult.Rejected(
                    request.editId(),
                    winner.map(EditRecord::id).orElse(""),
                    winner.map(EditRecord::author).orElse(""),
                    base.revision()));
        }
        CatalogueChange change = CatalogueChange.between(base, requested);
        return Decision.toPublish(
                new CatalogueEdit(request.editId(), request.author(), wallMillis, base.revision(), change));
    }

    /**
     * The decision about a submitted edit. Exactly one of the two components is present.
     *
     * @param result the result, if nothing needs to be published
     * @param edit the edit, if it needs to be published
     */
    record Decision(Optional<ApplyResult> result, Optional<CatalogueEdit> edit) {

        static Decision withResult(ApplyResult result) {
            return new Decision(Optional.of(result), Optional.empty());
        }

        static Decision toPublish(CatalogueEdit edit) {
            return new Decision(Optional.empty(), Optional.of(edit));
        }
    }

    private record PendingEdit(CompletableFuture<ApplyResult> future, long deadlineMillis) {}
}
