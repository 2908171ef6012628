package org.dogwoodwinch.forwarding;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The cost of prefilling a prompt at an engine that decodes streams, in milliseconds of waiting. Not thread-safe.
 *
 * <p>Load: prompts wait at the engines that prefill only, while engines that decode streams could prefill them at once
 * and would make those streams late by their gaps.
 *
 * <p>A stream whose gap was exceeded is late but delivered. Its caller loses less than with a first event at the
 * time-out, when everything is lost, and more than with one at the objective, when nothing is lost. A late stream
 * therefore costs as much as half of the time between the two. The price follows from the configured routes of the
 * service: a route without an accepted gap loses nothing, and a stream never costs less than one of a less urgent route.
 *
 * <p>Not every stream beside a long prefill is late: its last event may be near, or its events may be far apart. The
 * price is multiplied by the observed share of late streams among those that ran beside a long prefill.
 */
public final class StreamStallCost {

    /** Lies half-way between a stream that loses nothing and one that loses everything. */
    private static final double LATE_LOSS_RATIO = 0.5;

    /**
     * Ratio of the gap between two events to the prefill that fits into it: the decode steps of the event's own
     * tokens take about half of the gap.
     */
    private static final double GAP_TO_PREFILL_RATIO = 2;

    /** Every stream is assumed to be late until streams have been observed, since late streams cannot be undone. */
    private static final double INITIAL_STALLED_RATIO = 1;

    /** Follows a change within about 20 streams; a single stream changes the price by at most a tenth. */
    private static final double SMOOTHING_WEIGHT = 0.1;

    private final Function<String, List<ServiceRoute>> streamRoutes;
    private final Map<String, RouteLosses> lossesByService = new HashMap<>();
    private final Map<String, Double> stalledRatios = new HashMap<>();

    /**
     * Creates a cost without observations.
     *
     * @param streamRoutes returns the routes whose streams run at a service, evaluated on each use, not null
     */
    public StreamStallCost(Function<String, List<ServiceRoute>> streamRoutes) {
        this.streamRoutes = Objects.requireNonNull(streamRoutes, "streamRoutes");
    }

    /**
     * Returns the expected cost for each stream that an engine decodes.
     *
     * @param service the service of the engine, not null
     * @param prefillMillis the time that the engine prefills
     * @return milliseconds of waiting that cost as much; zero if the prefill fits into every accepted gap
     */
    public double millisPerStream(String service, double prefillMillis) {
        double lossMillis = losses(service).meanMillis(prefillMillis);
        return lossMillis == 0 ? 0 : lossMillis * stalledRatio(service);
    }

    /**
     * Returns the cost of a call that fails.
     *
     * @param service the service, not null
     * @return the mean time between objective and time-out of the service's routes of streams, in milliseconds; zero
     *     if it has none
     */
    public double failedCallMillis(String service) {
        return losses(service).failureMillis;
    }

    /**
     * Returns whether a prefill stretches a stream's gap beyond the accepted one.
     *
     * @param prefillMillis the time that the stream's engine prefills
     * @param maxEventGapMillis the accepted gap of the stream's route; zero if it has none
     * @return whether the stream is late if it has an event to write meanwhile
     */
    public static boolean exceedsGap(double prefillMillis, long maxEventGapMillis) {
        return maxEventGapMillis > 0 && prefillMillis * GAP_TO_PREFILL_RATIO > maxEventGapMillis;
    }

    /**
     * Records the end of a stream beside which its engine prefilled for longer than fits into its accepted gap.
     *
     * @param service the service, not null
     * @param stalled whether a gap between two of its events exceeded the accepted one
     */
    public void observe(String service, boolean stalled) {
        double known = stalledRatio(service);
        stalledRatios.put(service, known + SMOOTHING_WEIGHT * ((stalled ? 1 : 0) - known));
    }

    /**
     * Returns the share of late streams among those that ran beside a long prefill.
     *
     * @param service the service, not null
     * @return a number from 0 to 1
     */
    public double stalledRatio(String service) {
        return stalledRatios.getOrDefault(service, INITIAL_STALLED_RATIO);
    }

    private RouteLosses losses(String service) {
        List<ServiceRoute> routes = streamRoutes.apply(service);
        RouteLosses known = lossesByService.get(service);
        if (known == null || !known.routes.equals(routes)) {
            known = RouteLosses.of(routes);
            lossesByService.put(service, known);
        }
        return known;
    }

    /**
     * What the streams of a service's routes lose.
     *
     * @param routes the routes from which this was computed
     * @param meanLossesMillis the mean loss of all streams by the largest gap that is exceeded
     * @param failureMillis the mean loss of all streams if they fail
     */
    private record RouteLosses(
            List<ServiceRoute> routes, NavigableMap<Double, Double> meanLossesMillis, double failureMillis) {

        static RouteLosses of(List<ServiceRoute> routes) {
            List<ServiceRoute> withGap = routes.stream()
                    .filter(route -> route.maxEventGapMillis() > 0)
                    .sorted(Comparator.comparingLong(ServiceRoute::maxEventGapMillis))
                    .toList();
            NavigableMap<Integer, Double> largestLosses = largestLosses(withGap);
            NavigableMap<Double, Double> meanLosses = new TreeMap<>();
            double sum = 0;
            for (ServiceRoute route : withGap) {
                Map.Entry<Integer, Double> lessUrgent = largestLosses.higherEntry(route.priority());
                sum += Math.max(ownLossMillis(route), lessUrgent == null ? 0 : lessUrgent.getValue());
                meanLosses.put((double) route.maxEventGapMillis(), sum / routes.size());
            }
            double failureMillis = routes.stream()
                    .mapToDouble(RouteLosses::waitableMillis)
                    .average()
                    .orElse(0);
            return new RouteLosses(routes, meanLosses, failureMillis);
        }

        double meanMillis(double prefillMillis) {
            Map.Entry<Double, Double> exceeded = meanLossesMillis.lowerEntry(prefillMillis * GAP_TO_PREFILL_RATIO);
            return exceeded == null ? 0 : exceeded.getValue();
        }

        /** Returns for each priority the largest loss of its routes and of those that are less urgent. */
        private static NavigableMap<Integer, Double> largestLosses(List<ServiceRoute> withGap) {
            NavigableMap<Integer, Double> losses = new TreeMap<>();
            withGap.forEach(route -> losses.merge(route.priority(), ownLossMillis(route), Math::max));
            double largest = 0;
            for (Map.Entry<Integer, Double> loss : losses.descendingMap().entrySet()) {
                largest = Math.max(largest, loss.getValue());
                loss.setValue(largest);
            }
            return losses;
        }

        private static double ownLossMillis(ServiceRoute route) {
            return LATE_LOSS_RATIO * waitableMillis(route);
        }

        private static double waitableMillis(ServiceRoute route) {
            return Math.max(0, route.timeoutMillis() - route.latencyObjectiveMillis());
        }
    }
}
