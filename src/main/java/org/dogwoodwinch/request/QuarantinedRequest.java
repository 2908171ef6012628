package org.dogwoodwinch.request;

/**
 * A request in quarantine, as operators see it.
 *
 * @param fingerprint its fingerprint, in sixteen hexadecimal digits
 * @param crashes how many crashes this instance saw or heard of
 * @param remainingMillis how much longer the quarantine lasts, in milliseconds
 */
public record QuarantinedRequest(String fingerprint, int crashes, long remainingMillis) {}
