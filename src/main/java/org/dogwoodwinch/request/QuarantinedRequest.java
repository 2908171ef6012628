package org.dogwoodwinch.request;

/**
 * A request in quarantine, as listed for operators.
 *
 * @param fingerprint the request's fingerprint, as sixteen hexadecimal digits
 * @param crashes the number of crashes that this instance observed or that other instances reported to it
 * @param remainingMillis the remaining duration of the quarantine, in milliseconds
 */
public record QuarantinedRequest(String fingerprint, int crashes, long remainingMillis) {}
