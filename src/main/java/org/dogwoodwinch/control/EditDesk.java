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
 * Takes operators' edits, publishes them and answers once the fold has read them back. Not thread-safe: its owner calls
 * it under one lock.
 */
final class EditDesk {

    private static final int MOST_WAITING = 1_000;

    private final CatalogueCodec codec = new CatalogueCodec();
    private final Map<String, Waiting> waiting = new HashMap<>();
    private final Consumer<Runnable> later;

    /**
     * Creates a desk.
     *
     * @param later runs a task soon and outside the owner's lock, so that those who wait may call back, not null
     */
    EditDesk(Consumer<Runnable> later) {
        this.later = later;
    }

    /**
     * Takes an edit.
     *
     * @param request the edit, not null
     * @param fold the catalogue as far as it was read, not null
     * @param wallMillis the time of day, in milliseconds since 1970
     * @return the edit to publish, or the answer
     */
    Intake take(EditRequest request, CatalogueState fold, long wallMillis) {
        Optional<EditRecord> earlier = fold.find(request.editId());
        if (earlier.isPresent()) {
            return Intake.answered(result(earlier.get()));
        }
        return codec.read(request.document())
                .match(
                        wanted -> takeSound(request, wanted, fold, wallMillis),
                        problems -> Intake.answered(new ApplyResult.Faulty(request.editId(), problems)));
    }

    /**
     * Waits for an edit to be read back.
     *
     * @param editId the edit, not null
     * @param untilMillis when to give up, by the monotonic time
     * @return completes with the answer
     */
    CompletionStage<ApplyResult> await(String editId, long untilMillis) {
        if (waiting.size() >= MOST_WAITING) {
            return CompletableFuture.completedFuture(
                    new ApplyResult.UnknownYet(editId, "too many edits wait on this instance"));
        }
        return waiting.computeIfAbsent(editId, _id -> new Waiting(new CompletableFuture<>(), untilMillis))
                .answer();
    }

    /**
     * Answers those who wait for edits that have been read, and those who have waited long enough.
     *
     * @param fold the catalogue as far as it was read, not null
     * @param nowMillis the monotonic time in milliseconds
     */
    void settle(CatalogueState fold, long nowMillis) {
        Iterator<Map.Entry<String, Waiting>> each = waiting.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<String, Waiting> entry = each.next();
            Optional<EditRecord> line = fold.find(entry.getKey());
            if (line.isPresent()) {
                each.remove();
                complete(entry.getValue(), result(line.get()));
            } else if (nowMillis >= entry.getValue().untilMillis()) {
                each.remove();
                complete(
                        entry.getValue(), new ApplyResult.UnknownYet(entry.getKey(), "not read back from the log yet"));
            }
        }
    }

    private void complete(Waiting one, ApplyResult result) {
        later.accept(() -> one.answer().complete(result));
    }

    /**
     * Turns a line of the history into an operator's answer.
     *
     * @param line the line, not null
     * @return the answer
     */
    static ApplyResult result(EditRecord line) {
        return line.outcome()
                .match(
                        accepted -> new ApplyResult.Accepted(line.id(), accepted.revision()),
                        outrun -> new ApplyResult.Rejected(
                                line.id(), outrun.winnerId(), outrun.winnerAuthor(), outrun.winnerRevision()),
                        invalid ->
                                new ApplyResult.Faulty(line.id(), List.of(new CatalogueProblem("", invalid.detail()))));
    }

    private static Intake takeSound(EditRequest request, Catalogue wanted, CatalogueState fold, long wallMillis) {
        Catalogue base = fold.catalogue();
        if (wanted.revision() > base.revision()) {
            return Intake.answered(new ApplyResult.UnknownYet(
                    request.editId(), "this instance has not read revision " + wanted.revision() + " yet"));
        }
        if (wanted.revision() < base.revision()) {
            // The base is gone for good, so publishing could only be rejected; the log is spared an append.
            Optional<EditRecord> winner = fold.history().stream()
                    .filter(line -> line.verdict() == EditRecord.Verdict.ACCEPTED && line.offset() == base.revision())
                    .findFirst();
            return Intake.answered(new ApplyResult.Rejected(
                    request.editId(),
                    winner.map(EditRecord::id).orElse(""),
                    winner.map(EditRecord::author).orElse(""),
                    base.revision()));
        }
        CatalogueChange change = CatalogueChange.between(base, wanted);
        return Intake.publish(
                new CatalogueEdit(request.editId(), request.author(), wallMillis, base.revision(), change));
    }

    /**
     * What becomes of an edit that was handed in: exactly one of the two is there.
     *
     * @param answer the answer, where nothing needs to be published
     * @param edit the edit to publish
     */
    record Intake(Optional<ApplyResult> answer, Optional<CatalogueEdit> edit) {

        static Intake answered(ApplyResult answer) {
            return new Intake(Optional.of(answer), Optional.empty());
        }

        static Intake publish(CatalogueEdit edit) {
            return new Intake(Optional.empty(), Optional.of(edit));
        }
    }

    private record Waiting(CompletableFuture<ApplyResult> answer, long untilMillis) {}
}
