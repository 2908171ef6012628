package org.dogwoodwinch.http;

import java.util.List;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.request.Refusal;

/** What became of reading one HTTP request. */
sealed interface ReadOutcome {

    /**
     * It is a request to see through.
     *
     * @param request the request
     * @param shape how the caller wants its answer
     */
    record Accepted(CallerRequest request, AnswerShape shape) implements ReadOutcome {}

    /**
     * It asks for the list of models.
     *
     * @param entries the owner's entries
     */
    record Models(List<CatalogueEntry> entries) implements ReadOutcome {

        /**
         * Copies the list.
         */
        public Models {
            entries = List.copyOf(entries);
        }
    }

    /**
     * It is refused and did not run.
     *
     * @param refusal why
     */
    record Refused(Refusal refusal) implements ReadOutcome {}
}
