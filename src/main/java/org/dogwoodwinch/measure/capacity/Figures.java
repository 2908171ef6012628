package org.dogwoodwinch.measure.capacity;

import java.util.Locale;

/** Writes figures with units that fit their size. */
final class Figures {

    private static final double THOUSAND = 1_000;

    private Figures() {}

    /**
     * Writes a number of bytes.
     *
     * @param bytes the number
     * @return such as {@code 7.2 KB}; a kilobyte is 1,000 bytes
     */
    static String bytes(double bytes) {
        String[] units = {"B", "KB", "MB", "GB", "TB"};
        double value = bytes;
        int unit = 0;
        while (Math.abs(value) >= THOUSAND && unit < units.length - 1) {
            value /= THOUSAND;
            unit++;
        }
        return number(value) + " " + units[unit];
    }

    /**
     * Writes a share of a core.
     *
     * @param share such as 0.015
     * @return such as {@code 1.5%}
     */
    static String percent(double share) {
        return String.format(Locale.ROOT, "%.2f%%", share * 100);
    }

    /**
     * Writes a number with three digits or so.
     *
     * @param value the number
     * @return the text
     */
    static String number(double value) {
        double size = Math.abs(value);
        String format = size >= 100 ? "%,.0f" : size >= 10 ? "%.1f" : "%.2f";
        return String.format(Locale.ROOT, format, value);
    }
}
