package org.dogwoodwinch.forwarding;

/**
 * What is under way at a target.
 *
 * @param callsCount calls that were sent and have not ended
 * @param unreadTokens prompt tokens of calls that show no event yet
 */
public record TargetLoad(int callsCount, long unreadTokens) {}
