package org.dogwoodwinch.queueing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.forwarding.EngineTraits;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.LoadTracker;
import org.dogwoodwinch.forwarding.PrefillRates;
import org.dogwoodwinch.forwarding.Prompt;
import org.dogwoodwinch.forwarding.RateLimitShares;
import org.dogwoodwinch.forwarding.ServiceEntry;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.forwarding.TargetQuery;
import org.dogwoodwinch.forwarding.TargetRateLimits;
import org.dogwoodwinch.forwarding.TargetRests;
import org.junit.jupiter.api.Test;

class RoomEstimatorTest {

    private static final long HORIZON_MILLIS = 300;
    private static final int SLOTS_COUNT = 2;
    private static final int TOKENS_PER_MILLI = 10;
    private static final ServiceEntry PLAIN = new ServiceEntry("s", 96, Optional.empty());
    private static final ServiceEntry MODEL =
            new ServiceEntry("s", 96, Optional.of(new EngineTraits(64, 400_000, 18_000, 370_000, 5_000, 3_000)));

    private final LoadTracker loads = new LoadTracker();
    private final TargetDirectory directory = new TargetDirectory(
            new TargetHealth(() -> 0),
            new TargetRateLimits(() -> 0, new RateLimitShares("i0", () -> Optional.of(Set.of("i0")), () -> 0)),
            new TargetRests(() -> 0, RandomSource.XO_RO_SHI_RO_128_PP.create(1)));
    private final RoomEstimator estimator =
            new RoomEstimator(directory, loads, new PrefillRates(TOKENS_PER_MILLI), HORIZON_MILLIS);
    private long offset;

    @Test
    void plainServiceHasCapacityWhileSlotIsFree() {
        assertEquals(Capacity.NO_TARGET, plainCapacity(UnsentWork.NONE));
        list("t1", Stage.WHOLE, false);
        loads.recordSend("t1", 0, 0);
        assertEquals(Capacity.AVAILABLE, plainCapacity(UnsentWork.NONE));
        assertEquals(Capacity.EXHAUSTED, plainCapacity(UnsentWork.NONE.plusCall(0)));
        loads.recordSend("t1", 0, 0);
        assertEquals(Capacity.EXHAUSTED, plainCapacity(UnsentWork.NONE));
    }

    /** Guards against calls that wait for a target that will not take any. */
    @Test
    void drainingTargetIsNotWaitedFor() {
        list("t1", Stage.WHOLE, true);

        assertEquals(Capacity.NO_TARGET, plainCapacity(UnsentWork.NONE));
    }

    /** Guards against long prompts that are held back by engines to which they are not sent, and the reverse. */
    @Test
    void longPromptNeedsEngineThatOnlyPrefills() {
        list("p1", Stage.PREFILL, false);
        list("d1", Stage.DECODE, false);
        loads.recordSend("p1", 2, (int) HORIZON_MILLIS * TOKENS_PER_MILLI);

        assertEquals(Capacity.EXHAUSTED, modelCapacity(10_000, 1));
        assertEquals(Capacity.AVAILABLE, modelCapacity(100, 1));
    }

    @Test
    void urgentCallSeesOnlyPromptsAheadOfIt() {
        list("e1", Stage.WHOLE, false);
        loads.recordSend("e1", 0, 800);

        assertEquals(Capacity.AVAILABLE, modelCapacity(100, 0));
        assertEquals(Capacity.EXHAUSTED, modelCapacity(100, 1));
    }

    @Test
    void ownerAboveItsShareLeavesPartToOthersWhileCapacityIsShort() {
        list("t1", Stage.WHOLE, false);
        loads.recordSend("t1", 0, 0);
        OwnerShares shares = new OwnerShares();
        shares.recordRelease("large", 1_000, 0);
        List.of("a", "b", "c").forEach(owner -> shares.recordRelease(owner, 10, 0));

        assertTrue(isAvailable("large", shares));
        shares.recordShortage(0);
        assertFalse(isAvailable("large", shares));
        assertTrue(isAvailable("a", shares));
    }

    private boolean isAvailable(String owner, OwnerShares shares) {
        return estimator
                        .estimate(query(PLAIN, Optional.empty(), 0), UnsentWork.NONE, owner, shares, 0)
                        .capacity()
                == Capacity.AVAILABLE;
    }

    private Capacity plainCapacity(UnsentWork unsent) {
        return estimator
                .estimate(query(PLAIN, Optional.empty(), 0), unsent, false)
                .capacity();
    }

    private Capacity modelCapacity(int inputTokens, int priority) {
        Optional<Prompt> prompt = Optional.of(new Prompt("m", inputTokens, 10, List.of()));
        return estimator
                .estimate(query(MODEL, prompt, priority), UnsentWork.NONE, false)
                .capacity();
    }

    private static TargetQuery query(ServiceEntry service, Optional<Prompt> prompt, int priority) {
        return new TargetQuery(service, prompt, priority, 500, 500, Set.of(), true);
    }

    private void list(String id, Stage stage, boolean isDraining) {
        directory.apply(
                id,
                offset++,
                Optional.of(new Incarnation(id, "s", "10.0.0.1", 80, "dc", SLOTS_COUNT, isDraining, stage, 1)));
    }
}
