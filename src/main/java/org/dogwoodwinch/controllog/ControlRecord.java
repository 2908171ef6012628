package org.dogwoodwinch.controllog;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A record of the control stream.
 *
 * <p>Each kind must be harmless when it is read a second time, however late: a writer that lost an answer appends again,
 * and a paused writer may do so hours later, when the fold has long forgotten the id. Every kind therefore names the
 * state that it was made from (a revision, an epoch, the last intent) and is void where that state has moved on.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
public interface ControlRecord {

    /**
     * Returns the record's id, unique over all writers; a record that is appended again keeps it.
     *
     * @return the id, not null
     */
    String id();
}
