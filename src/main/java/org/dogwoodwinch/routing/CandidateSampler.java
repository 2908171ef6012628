package org.dogwoodwinch.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Picks the few targets that one decision looks at.
 *
 * <p>A few random candidates cost the same at 11 and at 4,400 targets, and keep instances with one stale view from all
 * finding the same idle target.
 */
final class CandidateSampler {

    private static final int TRIES_PER_CANDIDATE = 3;

    private final UniformRandomProvider random;

    CandidateSampler(UniformRandomProvider random) {
        this.random = random;
    }

    List<TargetState> sample(List<TargetState> from, int wanted, Predicate<TargetState> usable) {
        if (from.size() <= wanted) {
            return from.stream().filter(usable).toList();
        }
        List<TargetState> sample = new ArrayList<>(wanted);
        int tries = wanted * TRIES_PER_CANDIDATE;
        for (int i = 0; i < tries && sample.size() < wanted; i++) {
            TargetState candidate = from.get(random.nextInt(from.size()));
            if (usable.test(candidate) && !sample.contains(candidate)) {
                sample.add(candidate);
            }
        }
        return sample.isEmpty() ? from.stream().filter(usable).limit(wanted).toList() : sample;
    }
}
