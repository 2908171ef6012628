package org.dogwoodwinch.roles;

import java.util.Objects;
import org.dogwoodwinch.catalogue.WorkClass;

/**
 * What callers ask of one group in one class of work, averaged over a horizon.
 *
 * @param workClass the class, not null
 * @param requestsPerSecond arrivals a second
 * @param promptTokens prompt tokens of one request, on average
 * @param outputTokens tokens of one answer, on average
 * @param deadlineMillis the deadline, on average, in milliseconds
 */
public record ClassDemand(
        WorkClass workClass,
        double requestsPerSecond,
        double promptTokens,
        double outputTokens,
        double deadlineMillis) {

    /** Checks the parts. */
    public ClassDemand {
        Objects.requireNonNull(workClass, "workClass");
    }
}
