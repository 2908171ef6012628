package org.dogwoodwinch.replay;

import java.util.Objects;
import java.util.Optional;

/**
 * One outcome that a replay must come to.
 *
 * @param figure the figure's name: {@code goodputPerSecond}, {@code boundShare}, {@code roleChanges},
 *     {@code firstTokenP95Millis}, {@code betweenTokensP95Millis}, {@code prefixHitShare}, {@code refused} or
 *     {@code late}, not null
 * @param atLeast the least value allowed; null where there is none
 * @param atMost the greatest value allowed; null where there is none
 */
public record ExpectedOutcome(String figure, Double atLeast, Double atMost) {

    /** Checks the parts; an absent bound becomes an infinite one. */
    public ExpectedOutcome {
        Objects.requireNonNull(figure, "figure");
        atLeast = atLeast == null ? Double.NEGATIVE_INFINITY : atLeast;
        atMost = atMost == null ? Double.POSITIVE_INFINITY : atMost;
    }

    /**
     * Looks the figure up.
     *
     * @param figures the replay's figures, not null
     * @return its value, or empty where there is no figure of this name
     */
    public Optional<Double> valueIn(PolicyFigures figures) {
        return switch (figure) {
            case "goodputPerSecond" -> Optional.of(figures.goodputPerSecond());
            case "boundShare" -> Optional.of(figures.boundShare());
            case "roleChanges" -> Optional.of((double) figures.roleChanges());
            case "firstTokenP95Millis" -> Optional.of(figures.firstTokenP95Millis());
            case "betweenTokensP95Millis" -> Optional.of(figures.betweenTokensP95Millis());
            case "prefixHitShare" -> Optional.of(figures.prefixHitShare());
            case "refused" -> Optional.of((double) figures.refused());
            case "late" -> Optional.of((double) figures.late());
            default -> Optional.empty();
        };
    }

    /**
     * Says whether the outcome came about.
     *
     * @param figures the replay's figures, not null
     * @return false also where the figure is unknown
     */
    public boolean heldBy(PolicyFigures figures) {
        return valueIn(figures)
                .filter(value -> value >= atLeast && value <= atMost)
                .isPresent();
    }
}
