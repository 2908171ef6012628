package org.dogwoodwinch.request;

import com.google.common.collect.Interner;
import com.google.common.collect.Interners;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What the claims stream says of each key: the first claim in log order holds it until it is released or forgotten.
 *
 * <p>Instances forget by their own clocks, from when they read the claim; one that reads late only remembers longer. Two
 * claims within the key memory can never both be first on the same instance's fold, and only a claim's own instance acts
 * on it. Answers stay on the log: the fold keeps their offset. Not thread-safe.
 */
public final class ClaimFold {

    private final long keyMemoryMillis;
    private final int maxKeys;
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** Thousands of claims name a few targets; each name is kept once. */
    private final Interner<String> targetNames = Interners.newWeakInterner();

    /**
     * Creates an empty fold.
     *
     * @param keyMemoryMillis how long a key is remembered, in milliseconds
     * @param maxKeys how many keys make it full; a full fold still follows the log, but no claim is made on it
     */
    public ClaimFold(long keyMemoryMillis, int maxKeys) {
        this.keyMemoryMillis = keyMemoryMillis;
        this.maxKeys = maxKeys;
    }

    void apply(long offset, ClaimRecord entry, long nowMillis) {
        evictExpired(nowMillis);
        if (entry instanceof ClaimRecord.Claimed claimed) {
            StreamPointer pointer = new StreamPointer(targetNames.intern(claimed.target()), claimed.attemptId());
            entries.putIfAbsent(
                    claimed.keyHash(),
                    new Entry(
                            new HeldClaim(claimed.claimId(), pointer, HeldClaim.NO_OUTCOME, false),
                            claimed.fingerprint(),
                            nowMillis));
            return;
        }
        Entry held = entries.get(entry.keyHash());
        if (held == null || !held.claim().claimId().equals(entry.claimId())) {
            return;
        }
        if (entry instanceof ClaimRecord.Released) {
            entries.remove(entry.keyHash());
        } else if (entry instanceof ClaimRecord.Moved moved) {
            StreamPointer pointer = new StreamPointer(targetNames.intern(moved.target()), moved.attemptId());
            entries.put(
                    entry.keyHash(),
                    held.withClaim(new HeldClaim(held.claim().claimId(), pointer, HeldClaim.NO_OUTCOME, false)));
        } else {
            // Counted anew from the answer: a resend after a long answer must still find it.
            entries.remove(entry.keyHash());
            HeldClaim done = new HeldClaim(held.claim().claimId(), held.claim().pointer(), offset, false);
            entries.put(entry.keyHash(), new Entry(done, held.fingerprint(), nowMillis));
        }
    }

    /**
     * Looks a key up.
     *
     * @param keyHash the key, not null
     * @param nowMillis the monotonic time now, in milliseconds
     * @return the claim that holds it, or empty where it is free
     */
    Optional<Entry> find(String keyHash, long nowMillis) {
        evictExpired(nowMillis);
        return Optional.ofNullable(entries.get(keyHash));
    }

    /**
     * Returns how many keys are remembered.
     *
     * @return the count
     */
    public int size() {
        return entries.size();
    }

    boolean isFull() {
        return entries.size() >= maxKeys;
    }

    private void evictExpired(long nowMillis) {
        Iterator<Entry> byAge = entries.values().iterator();
        while (byAge.hasNext() && byAge.next().recordedMillis() <= nowMillis - keyMemoryMillis) {
            byAge.remove();
        }
    }

    /** A claim with what it was claimed for and since when it is counted. */
    record Entry(HeldClaim claim, long fingerprint, long recordedMillis) {

        Entry withClaim(HeldClaim newClaim) {
            return new Entry(newClaim, fingerprint, recordedMillis);
        }
    }
}
