package org.dogwoodwinch.target;

/**
 * One event of an engine's prefix cache; events come late and with gaps.
 *
 * @param sequence the event's number on its engine; a jump tells of a gap
 * @param prefixHash the hash of the prompt prefix's block chain up to here
 * @param stored true where the block was stored, false where it was evicted
 */
public record CacheEvent(long sequence, long prefixHash, boolean stored) {}
