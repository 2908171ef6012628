package org.dogwoodwinch.relay;

/**
 * The time-outs of connections to targets.
 *
 * @param connectTimeoutMillis the time-out for opening a connection
 * @param unacknowledgedMillis how long sent bytes may remain unacknowledged by the peer
 * @param idleMarginMillis how long before the end of its idle time-out a connection is no longer used, since a call
 *     that is sent while the target closes the connection may or may not have run
 */
public record ConnectionPolicy(int connectTimeoutMillis, int unacknowledgedMillis, long idleMarginMillis) {}
