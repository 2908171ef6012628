package org.dogwoodwinch.queueing;

/** A sum whose earlier summands lose weight exponentially with their age. */
final class DecayingSum {

    private final double timeConstantMillis;
    private double value;
    private long updatedMillis;

    DecayingSum(double timeConstantMillis) {
        this.timeConstantMillis = timeConstantMillis;
    }

    void add(double summand, long nowMillis) {
        value = at(nowMillis) + summand;
        updatedMillis = nowMillis;
    }

    double at(long nowMillis) {
        return value == 0 ? 0 : value * Math.exp((updatedMillis - nowMillis) / timeConstantMillis);
    }
}
