package org.dogwoodwinch.faultrun;

import java.util.Objects;
import org.dogwoodwinch.catalogue.WorkClass;

/**
 * One request that a caller wants done.
 *
 * @param requestId names it in the history, not null
 * @param entry the catalogue entry, not null
 * @param workClass the entry's class of work, not null
 * @param repeatable whether the entry says that it may run more than once
 * @param service whether the entry names a plain service
 * @param streamed whether the answer is wanted as a stream
 * @param prompt the prompt or the body, not null
 * @param expectedAnswer the one whole right answer, not null
 */
record CallPlan(
        String requestId,
        String entry,
        WorkClass workClass,
        boolean repeatable,
        boolean service,
        boolean streamed,
        String prompt,
        String expectedAnswer) {

    /** Checks the parts. */
    CallPlan {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(entry, "entry");
        Objects.requireNonNull(workClass, "workClass");
        Objects.requireNonNull(prompt, "prompt");
        Objects.requireNonNull(expectedAnswer, "expectedAnswer");
    }
}
