package org.dogwoodwinch.replay;

import java.util.Objects;
import org.dogwoodwinch.catalogue.WorkClass;

/**
 * One request of a trace.
 *
 * @param atMillis when it arrives, in milliseconds from the start
 * @param id names it, not null
 * @param group the group that serves it, not null
 * @param workClass its class, not null
 * @param repeatable whether it may be run again after a failure
 * @param promptTokens tokens of its prompt
 * @param outputTokens tokens that its answer really has
 * @param maxTokens the most tokens it allows
 * @param prefix names the beginning that it shares with others, not null
 * @param prefixTokens how long that beginning is, in tokens
 * @param deadlineMillis its deadline from arrival, in milliseconds
 */
public record TraceRequest(
        long atMillis,
        String id,
        String group,
        WorkClass workClass,
        boolean repeatable,
        int promptTokens,
        int outputTokens,
        int maxTokens,
        String prefix,
        int prefixTokens,
        long deadlineMillis) {

    /** Checks the parts. */
    public TraceRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(workClass, "workClass");
        Objects.requireNonNull(prefix, "prefix");
    }
}
