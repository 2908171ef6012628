package org.dogwoodwinch.roles;

import java.util.Comparator;
import java.util.List;
import org.dogwoodwinch.catalogue.WorkClass;

/** Predicts how many requests per second a split of roles answers within their deadlines. */
public final class GoodputModel {

    private static final double[] MIXED_FRACTIONS = {0, 0.25, 0.5, 0.75, 1};
    private static final double DEADLINE_SPREAD = 0.15;

    private final EngineSpeed speed;

    /**
     * Creates a model.
     *
     * @param speed the engines' speed, not null
     */
    public GoodputModel(EngineSpeed speed) {
        this.speed = speed;
    }

    /**
     * Predicts the goodput of a split under a demand, assuming that routing divides the requests between the mixed
     * engines and the prefill and decode engines in the best way.
     *
     * @param split the number of engines per role, not null
     * @param demand the demand by class, not null
     * @return requests per second that are answered within their deadlines
     */
    public double predict(RoleSplit split, List<ClassDemand> demand) {
        List<ClassDemand> byUrgency = demand.stream()
                .sorted(Comparator.comparing(ClassDemand::workClass))
                .toList();
        if (split.mixed() == 0) {
            return goodput(split, byUrgency, 0, 0);
        }
        if (split.prefill() == 0) {
            return goodput(split, byUrgency, 1, 1);
        }
        double best = 0;
        for (double interactiveFraction : MIXED_FRACTIONS) {
            for (double longReadFraction : MIXED_FRACTIONS) {
                best = Math.max(best, goodput(split, byUrgency, interactiveFraction, longReadFraction));
            }
        }
        return best;
    }

    private double goodput(
            RoleSplit split, List<ClassDemand> byUrgency, double interactiveFraction, double longReadFraction) {
        PoolLoad mixed = PoolLoad.mixed(speed, split.mixed());
        PoolLoad disaggregated = PoolLoad.disaggregated(speed, split.prefill(), split.decode());
        double[] mixedServedFractions = new double[byUrgency.size()];
        double[] disaggregatedServedFractions = new double[byUrgency.size()];
        for (int i = 0; i < mixedServedFractions.length; i++) {
            double mixedFraction = mixedFraction(byUrgency.get(i), interactiveFraction, longReadFraction);
            mixedServedFractions[i] = mixed.add(byUrgency.get(i), mixedFraction);
            disaggregatedServedFractions[i] = disaggregated.add(byUrgency.get(i), 1 - mixedFraction);
        }
        double goodput = 0;
        for (int i = 0; i < mixedServedFractions.length; i++) {
            ClassDemand demand = byUrgency.get(i);
            double mixedFraction = mixedFraction(demand, interactiveFraction, longReadFraction);
            double servedOnTimeFraction = mixedFraction * mixedServedFractions[i] * onTimeFraction(demand, mixed)
                    + (1 - mixedFraction) * disaggregatedServedFractions[i] * onTimeFraction(demand, disaggregated);
            goodput += demand.requestsPerSecond() * servedOnTimeFraction;
        }
        return goodput;
    }

    private static double mixedFraction(ClassDemand demand, double interactiveFraction, double longReadFraction) {
        return demand.workClass() == WorkClass.LONG_READ ? longReadFraction : interactiveFraction;
    }

    /**
     * Returns the fraction of a class's answers that meet the deadline. It changes gradually around the deadline, as
     * response times vary.
     */
    private static double onTimeFraction(ClassDemand demand, PoolLoad pool) {
        if (demand.workClass() == WorkClass.LONG_READ) {
            return 1;
        }
        double slack =
                (demand.deadlineMillis() - pool.responseMillis(demand)) / (demand.deadlineMillis() * DEADLINE_SPREAD);
        return 1 / (1 + Math.exp(-slack));
    }
}
