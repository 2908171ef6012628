package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.follow.ConditionalLog;
import org.dogwoodwinch.follow.LogPosition;
import org.dogwoodwinch.forwarding.OrderLease;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

/** Several holders claim a lease in a log that comes back from copies. */
class LogLeaseTest {

    private static final long VALID_MILLIS = 1_000;
    private static final long SEPARATION_MILLIS = 3_000;
    private static final int HOLDER_COUNT = 3;

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final CopiedLog log = new CopiedLog();

    @Test
    void tokenRisesAcrossCopies() {
        log.era = 0;
        LogLease lease = newLease();
        long before = claim(lease).orElseThrow();
        log.era++;
        log.endOffset = 0;
        assertEquals(OptionalLong.empty(), claim(lease), "the lost part may hold the record of another holder");

        time.advanceMillis(VALID_MILLIS + SEPARATION_MILLIS);
        assertTrue(claim(lease).orElseThrow() > before);
    }

    @Test
    void holdersStayApartAndTokensRiseInRandomSchedulesOfCopies() {
        for (int seed = 1; seed <= 300; seed++) {
            playSchedule(RandomSource.XO_RO_SHI_RO_128_PP.create(seed), seed);
        }
    }

    private void playSchedule(UniformRandomProvider random, int seed) {
        log.era = random.nextInt(3);
        log.endOffset = 0;
        List<LogLease> holders = new ArrayList<>();
        for (int i = 0; i < HOLDER_COUNT; i++) {
            holders.add(newLease());
        }
        int lastHolder = -1;
        long lastClaimMillis = 0;
        long lastToken = -1;
        for (int step = 0; step < 200; step++) {
            time.advanceMillis(random.nextInt(900));
            if (random.nextInt(12) == 0) {
                log.era++;
                log.endOffset = Math.max(0, log.endOffset - random.nextInt(4));
            }
            int holder = random.nextInt(HOLDER_COUNT);
            OptionalLong token = claim(holders.get(holder));
            if (token.isEmpty()) {
                continue;
            }
            long nowMillis = time.monotonicMillis();
            assertTrue(token.getAsLong() > lastToken, "seed " + seed + ": " + token + " after " + lastToken);
            assertTrue(
                    holder == lastHolder
                            || lastHolder < 0
                            || nowMillis - lastClaimMillis >= VALID_MILLIS + SEPARATION_MILLIS,
                    "seed " + seed + ": two holders within " + (nowMillis - lastClaimMillis) + " ms");
            lastHolder = holder;
            lastClaimMillis = nowMillis;
            lastToken = token.getAsLong();
        }
    }

    private LogLease newLease() {
        return new LogLease(log, new OrderLease(VALID_MILLIS, SEPARATION_MILLIS), time);
    }

    private static OptionalLong claim(LogLease lease) {
        OptionalLong expectedEnd = lease.claimableOffset();
        if (expectedEnd.isEmpty()) {
            return OptionalLong.empty();
        }
        LogLease.Outcome outcome = lease.claim(Bytes.ofUtf8("x"), expectedEnd.getAsLong())
                .toCompletableFuture()
                .join();
        return outcome.claim().map(claim -> OptionalLong.of(claim.token())).orElseGet(OptionalLong::empty);
    }

    private static final class CopiedLog implements ConditionalLog {

        private long era = 1;
        private long endOffset;

        @Override
        public CompletionStage<Appended> append(Bytes _content, long expectedEndOffset) {
            if (LogPosition.offset(expectedEndOffset) != endOffset) {
                return CompletableFuture.completedFuture(new EndOffsetMismatch(LogPosition.of(era, endOffset)));
            }
            return CompletableFuture.completedFuture(new Written(LogPosition.of(era, endOffset++)));
        }
    }
}
