package org.dogwoodwinch.roles;

import java.util.Comparator;
import java.util.List;
import org.dogwoodwinch.catalogue.WorkClass;

/** Predicts how many requests a second a split of roles serves in time. */
public final class GoodputModel {

    private static final double[] MIXED_PARTS = {0, 0.25, 0.5, 0.75, 1};
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
     * Predicts the goodput of a split under a demand, with requests divided between the mixed engines and the others as
     * well as routing could.
     *
     * @param split the roles, not null
     * @param demand the demand by class, not null
     * @return requests a second that are answered in time
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
        for (double soonPart : MIXED_PARTS) {
            for (double longPart : MIXED_PARTS) {
                best = Math.max(best, goodput(split, byUrgency, soonPart, longPart));
            }
        }
        return best;
    }

    private double goodput(RoleSplit split, List<ClassDemand> byUrgency, double soonPart, double longPart) {
        PoolLoad mixed = PoolLoad.mixed(speed, split.mixed());
        PoolLoad apart = PoolLoad.split(speed, split.prefill(), split.decode());
        double[] mixedFits = new double[byUrgency.size()];
        double[] apartFits = new double[byUrgency.size()];
        for (int i = 0; i < mixedFits.length; i++) {
            double part = part(byUrgency.get(i), soonPart, longPart);
            mixedFits[i] = mixed.add(byUrgency.get(i), part);
            apartFits[i] = apart.add(byUrgency.get(i), 1 - part);
        }
        double goodput = 0;
        for (int i = 0; i < mixedFits.length; i++) {
            ClassDemand each = byUrgency.get(i);
            double part = part(each, soonPart, longPart);
            double served = part * mixedFits[i] * inTime(each, mixed) + (1 - part) * apartFits[i] * inTime(each, apart);
            goodput += each.requestsPerSecond() * served;
        }
        return goodput;
    }

    private static double part(ClassDemand demand, double soonPart, double longPart) {
        return demand.workClass() == WorkClass.LONG_READ ? longPart : soonPart;
    }

    /** The part of a class's answers that come in time; a little below and above the deadline it is not all or none. */
    private static double inTime(ClassDemand demand, PoolLoad pool) {
        if (demand.workClass() == WorkClass.LONG_READ) {
            return 1;
        }
        double slack =
                (demand.deadlineMillis() - pool.answerMillis(demand)) / (demand.deadlineMillis() * DEADLINE_SPREAD);
        return 1 / (1 + Math.exp(-slack));
    }
}
