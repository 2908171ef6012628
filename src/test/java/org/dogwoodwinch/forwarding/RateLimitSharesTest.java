package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class RateLimitSharesTest {

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private Optional<Set<String>> members = Optional.of(names(95));

    @Test
    void limitIsDividedAmongFewHoldersOfAboutOneCallPerSecond() {
        for (double limit : new double[] {1, 2.3, 3.5, 20, 90}) {
            List<Double> held = shares(names(95)).stream()
                    .map(each -> each.sharePerSecond("t1", limit))
                    .filter(share -> share > 0)
                    .toList();

            assertEquals(limit, held.stream().mapToDouble(share -> share).sum(), 1e-9);
            assertTrue(held.size() <= Math.max(2, limit + 1), held.size() + " holders of " + limit);
        }
    }

    @Test
    void targetWithZeroLimitGetsOccasionalCalls() {
        double sum = shares(names(95)).stream()
                .mapToDouble(each -> each.sharePerSecond("t1", 0))
                .sum();

        assertTrue(sum > 0 && sum < 1, "calls per second: " + sum);
    }

    /** A restarted instance may be one of many; it is sure to be alone after several announcement intervals. */
    @Test
    void soleInstanceGetsWholeLimitAfterConfirmation() {
        RateLimitShares alone = shares(Set.of("i0")).get(0);
        assertEquals(2, alone.sharePerSecond("t1", 8));

        time.advanceMillis(60_000);

        assertEquals(8, alone.sharePerSecond("t1", 8));
    }

    @Test
    void differentTargetsHaveDifferentHolders() {
        List<RateLimitShares> all = shares(names(6));
        long withoutShareCount = all.stream()
                .filter(each -> IntStream.range(0, 8).allMatch(t -> each.sharePerSecond("t" + t, 2) == 0))
                .count();

        assertTrue(
                withoutShareCount <= 1, withoutShareCount + " of six instances have no share of any of eight targets");
    }

    @Test
    void unknownMembershipGivesNoShare() {
        RateLimitShares shares = new RateLimitShares("i0", () -> members, time::monotonicMillis);
        members = Optional.of(Set.of("i0"));
        shares.refresh();
        time.advanceMillis(2_001);
        shares.refresh();
        assertEquals(1, shares.sharePerSecond("t1", 2));

        members = Optional.empty();
        shares.refresh();

        assertEquals(0, shares.sharePerSecond("t1", 2));
    }

    /** Share holders that ranked before the new one continue to use their shares until they receive the change. */
    @Test
    void newHolderWaitsForPropagation() {
        RateLimitShares shares = new RateLimitShares("i0", () -> members, time::monotonicMillis);
        String target = IntStream.range(0, 1_000)
                .mapToObj(i -> "t" + i)
                .filter(id -> names(95).stream()
                                .filter(name -> RendezvousHash.score(id, name) > RendezvousHash.score(id, "i0"))
                                .count()
                        == 2)
                .findFirst()
                .orElseThrow();
        shares.refresh();
        time.advanceMillis(2_001);
        shares.refresh();
        assertEquals(0, shares.sharePerSecond(target, 2));

        Set<String> remainingMembers = names(95);
        remainingMembers.remove(remainingMembers.stream()
                .filter(name -> RendezvousHash.score(target, name) > RendezvousHash.score(target, "i0"))
                .findFirst()
                .orElseThrow());
        members = Optional.of(remainingMembers);
        shares.refresh();
        assertEquals(0, shares.sharePerSecond(target, 2));
        time.advanceMillis(2_001);
        shares.refresh();

        assertEquals(1, shares.sharePerSecond(target, 2));
    }

    private List<RateLimitShares> shares(Set<String> names) {
        List<RateLimitShares> all = new ArrayList<>();
        for (String name : names) {
            RateLimitShares shares = new RateLimitShares(name, () -> Optional.of(names), time::monotonicMillis);
            shares.refresh();
            all.add(shares);
        }
        time.advanceMillis(2_001);
        all.forEach(RateLimitShares::refresh);
        return all;
    }

    private static Set<String> names(int count) {
        return IntStream.range(0, count).mapToObj(i -> "i" + i).collect(Collectors.toSet());
    }
}
