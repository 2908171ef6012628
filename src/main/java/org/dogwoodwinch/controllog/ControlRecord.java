package org.dogwoodwinch.controllog;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A record of the control stream.
 *
 * <p>Applying a record a second time must have no effect, however late the second copy arrives: a writer that did not
 * get the answer to an append repeats it, and a paused writer may do so hours later, when the id is no longer among
 * those retained for deduplication. Every kind therefore names the state that it is based on (a revision, an epoch, the
 * last intent) and is rejected once that state has changed.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
public interface ControlRecord {

    /**
     * Returns the id of the record. It is unique across all writers, and a record that is appended again keeps it.
     *
     * @return the id, not null
     */
    String id();
}
