package org.dogwoodwinch.request;

import com.google.common.collect.Interner;
import com.google.common.collect.Interners;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * In-memory index of the claims stream by idempotency key. The first claim of a key in log order holds the key until
 * the claim is released or expires.
 *
 * <p>Each instance expires claims by its own clock, counted from when it read the claim; an instance that reads late
 * only retains the claim longer. Within the key retention, two claims can never both be first in the index of the same
 * instance, and only the instance that made a claim acts on it. Answers stay on the log; the index stores their
 * offsets. Not thread-safe.
 */
public final class ClaimIndex {

    private final long keyMemoryMillis;
    private final int maxKeys;
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** Thousands of claims refer to a few targets, so each target name is stored once. */
    private final Interner<String> targetNames = Interners.newWeakInterner();

    /**
     * Creates an empty index.
     *
     * @param keyMemoryMillis how long a key is retained, in milliseconds
     * @param maxKeys the number of keys at which the index is full; a full index still applies records of the log, but
     *     no new claim may be made against it
     */
    public ClaimIndex(long keyMemoryMillis, int maxKeys) {
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
            // Restarts the retention at the answer, so that a resend after a long answer still finds it.
            entries.remove(entry.keyHash());
            HeldClaim done = new HeldClaim(held.claim().claimId(), held.claim().pointer(), offset, false);
            entries.put(entry.keyHash(), new Entry(done, held.fingerprint(), nowMillis));
        }
    }

    /**
     * Returns the claim that holds a key.
     *
     * @param keyHash the hash of the key, not null
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the claim that holds the key, or empty if the key is free
     */
    Optional<Entry> find(String keyHash, long nowMillis) {
        evictExpired(nowMillis);
        return Optional.ofNullable(entries.get(keyHash));
    }

    /**
     * Returns the number of retained keys, including expired ones that have not been evicted yet.
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

    /** A claim, the fingerprint of the request that it was made for, and the start of its retention. */
    record Entry(HeldClaim claim, long fingerprint, long recordedMillis) {

        Entry withClaim(HeldClaim newClaim) {
            return new Entry(newClaim, fingerprint, recordedMillis);
        }
    }
}
