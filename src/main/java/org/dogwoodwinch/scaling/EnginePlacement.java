package org.dogwoodwinch.scaling;

/** Distributes engines over data centres, and limits how far an order may change the present distribution. */
final class EnginePlacement {

    /**
     * Minimum number of data centres at which none holds more than half of a service's engines if all of them are
     * on-demand engines, so that the failure of a data centre leaves the other half.
     */
    private static final int MIN_DATA_CENTRES_TO_SPREAD = 3;

    private EnginePlacement() {}

    /**
     * Places engines. Spot engines are spread evenly, so that a reclaim takes as few as possible. On-demand engines are
     * added at the cheapest data centres and removed from the most expensive ones; those that remain stay where they
     * are, because they would lose their KV caches.
     *
     * <p>Failure: the cheapest data centre fails or has no on-demand engines, and engines ordered there do not
     * start. Where on-demand engines are missing, none are added.
     *
     * @param present the present engines, not null
     * @param missing those of them that are not expected to become ready; on-demand engines are not added where some
     *     are missing, not null
     * @param onDemandCount number of on-demand engines; more or fewer are placed where the limits require it
     * @param spotCount number of spot engines, at most one less than the maximum for each data centre
     * @param limits the limits of each data centre, not null
     * @return the engines of each pool
     */
    static PoolCounts place(
            PoolCounts present, PoolCounts missing, int onDemandCount, int spotCount, ScalingLimits limits) {
        int size = present.size();
        PoolCounts target = present.min(present);
        int max = limits.maxCount();
        if (spotCount == 0 && size >= MIN_DATA_CENTRES_TO_SPREAD) {
            max = Math.min(max, Math.max(onDemandCount / 2, Math.max(1, limits.minCount())));
        }
        int excess = -onDemandCount;
        for (int i = 0; i < size; i++) {
            target.spot()[i] = spotCount / size + (i < spotCount % size ? 1 : 0);
            target.onDemand()[i] = clamp(present.onDemand()[i], minOnDemand(target, i, limits), max - target.spot()[i]);
            excess += target.onDemand()[i];
        }
        for (int i = 0; i < size && excess < 0; i++) {
            int added = missing.onDemand()[i] > 0 ? 0 : Math.min(-excess, max - target.at(i));
            target.onDemand()[i] += added;
            excess += added;
        }
        for (int i = size - 1; i >= 0 && excess > 0; i--) {
            int removed = Math.min(excess, target.onDemand()[i] - minOnDemand(target, i, limits));
            target.onDemand()[i] -= removed;
            excess -= removed;
        }
        return target;
    }

    /** One on-demand engine stays in each data centre, so that it has an engine after a reclaim. */
    private static int minOnDemand(PoolCounts target, int index, ScalingLimits limits) {
        return Math.min(limits.maxCount(), Math.max(1, limits.minCount() - target.spot()[index]));
    }

    /**
     * Returns what to order now on the way to a target. Engines are added at once; engines are removed only as far as
     * more than the required number are ready, on-demand engines first.
     *
     * <p>Failure: on-demand engines that are released when their replacement is ordered are missing while it boots, and
     * for longer if there are no spot engines.
     *
     * @param planned the engines that were ordered last, not null
     * @param ready how many of them are ready, not null
     * @param target the target, not null
     * @param requiredCount the number of engines that must remain ready
     * @param limits the limits of each data centre, not null
     * @return the engines of each pool
     */
    static PoolCounts approach(
            PoolCounts planned, PoolCounts ready, PoolCounts target, int requiredCount, ScalingLimits limits) {
        PoolCounts next = target.min(target);
        int removable = Math.max(0, ready.total() - requiredCount);
        removable = limitDecrease(next.onDemand(), planned.onDemand(), removable);
        limitDecrease(next.spot(), planned.spot(), removable);
        for (int i = 0; i < next.size(); i++) {
            int excess = next.at(i) - limits.maxCount();
            excess = reduce(next.spot(), i, planned.spot()[i], excess);
            excess = reduce(next.onDemand(), i, planned.onDemand()[i], excess);
            excess = reduce(next.spot(), i, target.spot()[i], excess);
            reduce(next.onDemand(), i, target.onDemand()[i], excess);
        }
        return next;
    }

    /** Raises counts so that the sum of their decreases is at most a number, and returns what is left of it. */
    private static int limitDecrease(int[] counts, int[] planned, int removableCount) {
        int left = removableCount;
        for (int i = counts.length - 1; i >= 0; i--) {
            int removed = Math.min(left, Math.max(0, planned[i] - counts[i]));
            counts[i] = Math.max(counts[i], planned[i] - removed);
            left -= removed;
        }
        return left;
    }

    /** Reduces one count by an excess, but not below a minimum, and returns what is left of the excess. */
    private static int reduce(int[] counts, int index, int min, int excess) {
        int removed = clamp(excess, 0, Math.max(0, counts[index] - min));
        counts[index] -= removed;
        return excess - removed;
    }

    private static int clamp(int value, int min, int max) {
        return Math.max(min, Math.min(max, value));
    }
}
