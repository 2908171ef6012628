package org.dogwoodwinch.daemon;

/**
 * What a caller received for a call to an instance.
 *
 * @param reply the answer, not null
 * @param instance the name and the number of the start of the instance, not null
 * @param waitedMillis the time from the last byte of the call to the end
 * @param maybeUnaccepted whether the connection was reset before any answer, so that the instance may never have
 *     accepted it
 */
record StopSeriesReply(StutterReply reply, String instance, long waitedMillis, boolean maybeUnaccepted) {}
