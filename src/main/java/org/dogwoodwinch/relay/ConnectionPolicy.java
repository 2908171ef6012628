package org.dogwoodwinch.relay;

/**
 * The times of connections to targets.
 *
 * @param connectTimeoutMillis how long a connection may take to open
 * @param unacknowledgedMillis how long written bytes may stay without the peer's acknowledgement
 * @param idleMarginMillis how long before the end of its idle time a connection is no longer used: a call that crosses
 *     the target's close may or may not have run
 */
public record ConnectionPolicy(int connectTimeoutMillis, int unacknowledgedMillis, long idleMarginMillis) {}
