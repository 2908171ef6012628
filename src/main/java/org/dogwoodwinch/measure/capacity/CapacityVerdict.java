package org.dogwoodwinch.measure.capacity;

/** What a projected figure means. */
public enum CapacityVerdict {
    /** Within its budget. */
    REACHED("reached"),
    /** Beyond its budget: today's mechanism does not carry the target size. */
    NOT_REACHED("NOT REACHED"),
    /** A figure without a budget of its own. */
    FIGURE("figure"),
    /** There is nothing to measure yet. */
    NOT_MEASURED("not measured");

    private final String label;

    CapacityVerdict(String label) {
        this.label = label;
    }

    /**
     * Returns the word that the table shows.
     *
     * @return the word
     */
    public String label() {
        return label;
    }

    /**
     * Compares a figure with its budget.
     *
     * @param projected the figure
     * @param budget the most that it may be
     * @return whether it is reached
     */
    public static CapacityVerdict atMost(double projected, double budget) {
        return projected <= budget ? REACHED : NOT_REACHED;
    }
}
