package org.dogwoodwinch.cli;

import org.dogwoodwinch.control.ApplyAnswer;

/** Prints what became of an edit. */
final class EditAnswers {

    private EditAnswers() {}

    /**
     * Prints an answer.
     *
     * @param instance prints, not null
     * @param answer the answer, not null
     * @return the exit code that goes with it
     */
    static int print(InstanceOption instance, ApplyAnswer answer) {
        return switch (answer.verdict()) {
            case ACCEPTED -> {
                instance.line("accepted: edit %s made revision %d", answer.editId(), answer.revision());
                yield ExitCodes.DONE;
            }
            case REJECTED -> {
                instance.line(
                        "rejected: edit %s by %s came first and made revision %d; get it, edit again",
                        known(answer.winnerId()), known(answer.winnerAuthor()), answer.revision());
                yield ExitCodes.REFUSED;
            }
            case FAULTY -> {
                CatalogueFiles.print(answer.problems(), instance::complain);
                yield ExitCodes.REFUSED;
            }
            case UNKNOWN_YET -> {
                instance.line("unknown yet: %s; ask for edit %s again", answer.detail(), answer.editId());
                yield ExitCodes.UNKNOWN;
            }
        };
    }

    private static String known(String text) {
        return text.isEmpty() ? "(forgotten)" : text;
    }
}
