package org.dogwoodwinch.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.standin.MemoryLog;
import org.dogwoodwinch.standin.MemoryLogLimits;
import org.dogwoodwinch.target.TokenUsage;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class LogClaimStoreTest {

    private static final long CLAIM_TIMEOUT_MILLIS = 2_000;
    private static final long KEY_MEMORY_MILLIS = 600_000;

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final MemoryLog memoryLog = new MemoryLog(time, MemoryLogLimits.STANDARD);
    private final LogClaimStore firstStore = newStore("first~1");
    private final LogClaimStore secondStore = newStore("second~1");
    private final List<ClaimOutcome> outcomes = new ArrayList<>();

    /** Two instances receive the same key at once: if both acquired it, the request would run twice. */
    @Test
    void exactlyOneOfTwoConcurrentClaimsIsAcquired() {
        firstStore.claim(claim("key", 1), outcomes::add);
        secondStore.claim(claim("key", 1), outcomes::add);
        time.advanceMillis(100);
        assertEquals(1, acquiredCount());
        assertEquals(
                1,
                outcomes.stream()
                        .filter(ClaimOutcome.AlreadyClaimed.class::isInstance)
                        .count());
    }

    /** The reply to the append is lost although the record was written; the claim must not be appended again. */
    @Test
    void claimIsAcquiredWhenTheAppendReplyIsLost() {
        memoryLog.loseAnswers(1);
        firstStore.claim(claim("key", 1), outcomes::add);
        time.advanceMillis(3_000);
        assertEquals(1, acquiredCount());
        assertEquals(1, memoryLog.appendCount());
    }

    /** The log is unavailable: a claim appended later would block the key of a request that was refused as not run. */
    @Test
    void claimIsRefusedAtOnceAndNeverAppendedWhenTheLogRefuses() {
        memoryLog.setMode(MemoryLog.Mode.REFUSING);
        time.advanceMillis(1_500);
        firstStore.claim(claim("key", 1), outcomes::add);
        assertInstanceOf(ClaimOutcome.Unavailable.class, outcomes.get(0));
        memoryLog.setMode(MemoryLog.Mode.UP);
        time.advanceMillis(5_000);
        assertEquals(0, memoryLog.appendCount());
        firstStore.claim(claim("key", 1), outcomes::add);
        time.advanceMillis(100);
        assertEquals(1, acquiredCount());
    }

    /** A claim is read back after its request was refused as not run: it must not run, and a resend must be able to. */
    @Test
    void claimReadBackAfterItsTimeoutIsReleased() {
        memoryLog.setMode(MemoryLog.Mode.REFUSING);
        time.advanceMillis(10);
        memoryLog.setMode(MemoryLog.Mode.UP);
        firstStore.claim(claim("key", 1), outcomes::add);
        time.advanceMillis(10);
        assertEquals(1, memoryLog.appendCount());
        memoryLog.setMode(MemoryLog.Mode.REFUSING);
        time.advanceMillis(2_500);
        assertInstanceOf(ClaimOutcome.Unavailable.class, outcomes.get(0));
        memoryLog.setMode(MemoryLog.Mode.UP);
        time.advanceMillis(10_000);
        assertEquals(0, acquiredCount());
        secondStore.claim(claim("key", 1), outcomes::add);
        time.advanceMillis(100);
        assertEquals(1, acquiredCount());
    }

    @Test
    void keyOfADifferentRequestIsReportedAsReused() {
        firstStore.claim(claim("key", 1), outcomes::add);
        time.advanceMillis(100);
        secondStore.claim(claim("key", 2), outcomes::add);
        time.advanceMillis(100);
        assertInstanceOf(ClaimOutcome.KeyReused.class, outcomes.get(1));
    }

    @Test
    void resendReadsTheAnswerOfACompletedClaim() {
        firstStore.claim(claim("key", 1), outcomes::add);
        time.advanceMillis(100);
        StoredAnswer answer = new StoredAnswer.Generated("checked", new TokenUsage(3, 0, 1), "stop");
        firstStore.recordAnswer(((ClaimOutcome.Acquired) outcomes.get(0)).claimId(), answer);
        time.advanceMillis(100);
        secondStore.claim(claim("key", 1), outcomes::add);
        HeldClaim held = ((ClaimOutcome.AlreadyClaimed) outcomes.get(1)).claim();
        List<StoredAnswer> kept = new ArrayList<>();
        secondStore.readAnswer(held, found -> kept.add(found.orElseThrow()));
        time.advanceMillis(10);
        assertEquals(List.of(answer), kept);
    }

    /** The log accepts only a few hundred appends per second from all instances, so claims must share appends. */
    @Test
    void thousandClaimsAreAppendedInAtMostThreeBatches() {
        for (int i = 0; i < 1_000; i++) {
            firstStore.claim(claim("key" + i, 1), outcomes::add);
        }
        time.advanceMillis(1_000);
        assertEquals(1_000, acquiredCount());
        assertTrue(memoryLog.appendCount() <= 3, memoryLog.appendCount() + " appends");
    }

    @Test
    void keyIsEvictedAfterItsRetention() {
        firstStore.claim(claim("key", 1), outcomes::add);
        time.advanceMillis(KEY_MEMORY_MILLIS + 1_000);
        firstStore.claim(claim("key", 1), outcomes::add);
        time.advanceMillis(100);
        assertEquals(2, acquiredCount());
        assertEquals(1, firstStore.keyCount());
    }

    private LogClaimStore newStore(String writer) {
        ClaimIndex index = new ClaimIndex(KEY_MEMORY_MILLIS, 10_000);
        LogClaimStore store =
                new LogClaimStore(memoryLog, time, writer, CLAIM_TIMEOUT_MILLIS, 5, index, _writer -> false);
        store.start();
        return store;
    }

    private long acquiredCount() {
        return outcomes.stream().filter(ClaimOutcome.Acquired.class::isInstance).count();
    }

    private static ClaimRequest claim(String key, long fingerprint) {
        return new ClaimRequest(key, fingerprint, new StreamPointer("engine-0", "attempt-" + key));
    }
}
