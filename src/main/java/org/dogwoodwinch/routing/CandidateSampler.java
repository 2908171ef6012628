package org.dogwoodwinch.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Selects the few targets that one routing decision scores.
 *
 * <p>The cost of a small random sample does not grow with the fleet (11 or 4,400 targets), and sampling keeps instances
 * that share a stale view from all choosing the same idle target.
 */
final class CandidateSampler {

    private static final int DRAWS_PER_CANDIDATE = 3;

    private final UniformRandomProvider random;

    CandidateSampler(UniformRandomProvider random) {
        this.random = random;
    }

    List<TargetState> sample(List<TargetState> targets, int sampleSize, Predicate<TargetState> filter) {
        if (targets.size() <= sampleSize) {
            return targets.stream().filter(filter).toList();
        }
        List<TargetState> sample = new ArrayList<>(sampleSize);
        int draws = sampleSize * DRAWS_PER_CANDIDATE;
        for (int i = 0; i < draws && sample.size() < sampleSize; i++) {
            TargetState candidate = targets.get(random.nextInt(targets.size()));
            if (filter.test(candidate) && !sample.contains(candidate)) {
                sample.add(candidate);
            }
        }
        return sample.isEmpty()
                ? targets.stream().filter(filter).limit(sampleSize).toList()
                : sample;
    }
}
