package org.dogwoodwinch.scaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * Numbers of engines by data centre and kind. The data centres are ordered by price, the cheapest first; one without a
 * price comes last. The counts may be changed; not thread-safe.
 */
final class PoolCounts {

    private final List<String> dataCentres;
    private final int[] onDemand;
    private final int[] spot;

    /**
     * Creates counts.
     *
     * @param dataCentres the data centres, not null
     * @param onDemand the number of on-demand engines in each of them, not null; not copied
     * @param spot the number of spot engines in each of them, not null; not copied
     */
    PoolCounts(List<String> dataCentres, int[] onDemand, int[] spot) {
        this.dataCentres = dataCentres;
        this.onDemand = onDemand;
        this.spot = spot;
    }

    /**
     * Returns the data centres in which a service has or has ordered engines.
     *
     * @param observed what is known of the service's engines, not null
     * @param limits the prices, not null
     * @return the data centres, the cheapest first
     */
    static List<String> dataCentres(ScaleObservation observed, ScalingLimits limits) {
        Set<String> names = new TreeSet<>();
        for (Map<EnginePool, Integer> counts :
                List.of(observed.readyCounts(), observed.lastPlan().desiredCounts())) {
            counts.forEach((pool, count) -> {
                if (count > 0) {
                    names.add(pool.dataCentre());
                }
            });
        }
        List<String> ordered = new ArrayList<>(names);
        ordered.sort(Comparator.comparingDouble(
                name -> limits.priceByDataCentre().getOrDefault(name, Double.POSITIVE_INFINITY)));
        return ordered;
    }

    /**
     * Returns the engines that are ready.
     *
     * @param dataCentres the data centres, not null
     * @param observed what is known of the service's engines, not null
     * @return the counts
     */
    static PoolCounts ready(List<String> dataCentres, ScaleObservation observed) {
        return of(dataCentres, pool -> observed.readyCounts().getOrDefault(pool, 0));
    }

    /**
     * Returns the engines that the last plan orders, and for pools that it leaves alone those that are ready.
     *
     * @param dataCentres the data centres, not null
     * @param observed what is known of the service's engines, not null
     * @return the counts
     */
    static PoolCounts planned(List<String> dataCentres, ScaleObservation observed) {
        Map<EnginePool, Integer> desired = observed.lastPlan().desiredCounts();
        return of(dataCentres, pool -> {
            Integer count = desired.get(pool);
            return count == null ? observed.readyCounts().getOrDefault(pool, 0) : count;
        });
    }

    private static PoolCounts of(List<String> dataCentres, ToIntFunction<EnginePool> countOf) {
        PoolCounts counts = new PoolCounts(dataCentres, new int[dataCentres.size()], new int[dataCentres.size()]);
        for (int i = 0; i < dataCentres.size(); i++) {
            counts.onDemand[i] = countOf.applyAsInt(new EnginePool(dataCentres.get(i), EngineKind.ON_DEMAND));
            counts.spot[i] = countOf.applyAsInt(new EnginePool(dataCentres.get(i), EngineKind.SPOT));
        }
        return counts;
    }

    /**
     * Returns the number of data centres.
     *
     * @return the number
     */
    int size() {
        return dataCentres.size();
    }

    /**
     * Returns a data centre.
     *
     * @param index its place in the order of prices
     * @return its name
     */
    String dataCentre(int index) {
        return dataCentres.get(index);
    }

    /**
     * Returns the on-demand engines of each data centre.
     *
     * @return the counts, which may be changed
     */
    int[] onDemand() {
        return onDemand;
    }

    /**
     * Returns the spot engines of each data centre.
     *
     * @return the counts, which may be changed
     */
    int[] spot() {
        return spot;
    }

    /**
     * Returns the engines of one kind in each data centre.
     *
     * @param kind the kind, not null
     * @return the counts, which may be changed
     */
    int[] of(EngineKind kind) {
        return kind == EngineKind.SPOT ? spot : onDemand;
    }

    /**
     * Returns the number of engines of both kinds in a data centre.
     *
     * @param index its place in the order of prices
     * @return the number
     */
    int at(int index) {
        return onDemand[index] + spot[index];
    }

    /**
     * Returns the number of on-demand engines.
     *
     * @return the sum over the data centres
     */
    int onDemandTotal() {
        return sum(onDemand);
    }

    /**
     * Returns the number of spot engines.
     *
     * @return the sum over the data centres
     */
    int spotTotal() {
        return sum(spot);
    }

    /**
     * Returns the number of engines.
     *
     * @return the sum over all pools
     */
    int total() {
        return onDemandTotal() + spotTotal();
    }

    /**
     * Returns how many engines of each pool are in both counts.
     *
     * @param other counts of the same data centres, not null
     * @return the smaller count of each pool
     */
    PoolCounts min(PoolCounts other) {
        PoolCounts smaller = new PoolCounts(dataCentres, onDemand.clone(), spot.clone());
        for (int i = 0; i < size(); i++) {
            smaller.onDemand[i] = Math.min(onDemand[i], other.onDemand[i]);
            smaller.spot[i] = Math.min(spot[i], other.spot[i]);
        }
        return smaller;
    }

    /**
     * Returns how many engines have to be added to get from other counts to these.
     *
     * @param other counts of the same data centres, not null
     * @return the sum of the increases, without the decreases
     */
    int increaseOver(PoolCounts other) {
        return total() - min(other).total();
    }

    /**
     * Returns the counts as a plan.
     *
     * @param observed what is known of the service's engines, not null
     * @param isViewComplete whether all engines are known; otherwise, a pool that the last plan leaves alone is named only
     *     if its count changes: an order of the number of engines seen would release the others
     * @return the plan
     */
    ScalePlan toPlan(ScaleObservation observed, boolean isViewComplete) {
        Map<EnginePool, Integer> desired = new HashMap<>(observed.lastPlan().desiredCounts());
        for (int i = 0; i < size(); i++) {
            for (EngineKind kind : EngineKind.values()) {
                EnginePool pool = new EnginePool(dataCentres.get(i), kind);
                int count = of(kind)[i];
                boolean isChanged = count != observed.readyCounts().getOrDefault(pool, 0);
                if (isViewComplete || isChanged || desired.containsKey(pool)) {
                    desired.put(pool, count);
                }
            }
        }
        return new ScalePlan(desired);
    }

    private static int sum(int[] counts) {
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum;
    }
}
