package org.dogwoodwinch.queueing;

/** A sum whose earlier summands lose weight exponentially with their age. */
final class DecayingSum {

    private final double timeConstantMillis;
    private double value;
    private long updatedMillis;

    /** Creates an empty sum whose summands lose two thirds of their weight within a time in milliseconds. */
    DecayingSum(double timeConstantMillis) {
        this.timeConstantMillis = timeConstantMillis;
    }

    /** Adds a summand at a time in monotonic milliseconds, which is not before that of the last one. */
    void add(double summand, long nowMillis) {
        value = at(nowMillis) + summand;
        updatedMillis = nowMillis;
    }

    /** Returns the sum at a time in monotonic milliseconds, which is not before that of the last summand. */
    double at(long nowMillis) {
        return value == 0 ? 0 : value * Math.exp((updatedMillis - nowMillis) / timeConstantMillis);
    }
}
