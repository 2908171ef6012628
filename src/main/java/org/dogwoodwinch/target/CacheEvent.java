package org.dogwoodwinch.target;

/**
 * A change of an engine's prefix cache. Events arrive with delay, and some may be missing.
 *
 * @param sequence the event's sequence number on its engine; a skipped number means that events are missing
 * @param prefixHash the hash of the chain of prompt prefix blocks up to and including this block
 * @param stored true if the block was stored, false if it was evicted
 */
public record CacheEvent(long sequence, long prefixHash, boolean stored) {}
