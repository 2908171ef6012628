package org.dogwoodwinch.roles;

import java.util.Objects;
import org.dogwoodwinch.catalogue.WorkClass;

/**
 * The demand for one group in one class of work, averaged over a horizon.
 *
 * @param workClass the class, not null
 * @param requestsPerSecond arrivals per second
 * @param promptTokens the mean number of prompt tokens per request
 * @param outputTokens the mean number of tokens per answer
 * @param deadlineMillis the mean deadline, in milliseconds
 */
public record ClassDemand(
        WorkClass workClass,
        double requestsPerSecond,
        double promptTokens,
        double outputTokens,
        double deadlineMillis) {

    /** Checks the components. */
    public ClassDemand {
        Objects.requireNonNull(workClass, "workClass");
    }
}
