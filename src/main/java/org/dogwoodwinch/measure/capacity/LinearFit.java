package org.dogwoodwinch.measure.capacity;

/**
 * A line through measured points by least squares.
 *
 * @param intercept the value at zero
 * @param slope how much the value grows with each unit
 */
public record LinearFit(double intercept, double slope) {

    /**
     * Fits a line.
     *
     * @param sizes the sizes, two different ones at least, not null
     * @param values the value measured at each size, not null
     * @return the line
     * @throws IllegalArgumentException if the lengths differ or there are not two different sizes
     */
    public static LinearFit through(double[] sizes, double[] values) {
        if (sizes.length != values.length || sizes.length < 2) {
            throw new IllegalArgumentException("there must be two points or more");
        }
        double meanSize = mean(sizes);
        double meanValue = mean(values);
        double covariance = 0;
        double variance = 0;
        for (int i = 0; i < sizes.length; i++) {
            covariance += (sizes[i] - meanSize) * (values[i] - meanValue);
            variance += (sizes[i] - meanSize) * (sizes[i] - meanSize);
        }
        if (variance == 0) {
            throw new IllegalArgumentException("the sizes must differ");
        }
        double slope = covariance / variance;
        return new LinearFit(meanValue - slope * meanSize, slope);
    }

    /**
     * Reads the line at a size.
     *
     * @param size the size
     * @return the value
     */
    public double at(double size) {
        return intercept + slope * size;
    }

    private static double mean(double[] numbers) {
        double sum = 0;
        for (double number : numbers) {
            sum += number;
        }
        return sum / numbers.length;
    }
}
