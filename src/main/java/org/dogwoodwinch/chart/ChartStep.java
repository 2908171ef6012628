package org.dogwoodwinch.chart;

import java.util.Optional;

/**
 * Where an event leads.
 *
 * @param to the next state, not null
 * @param action what to do on the way, or empty
 * @param <S> the states
 * @param <A> the actions
 */
public record ChartStep<S extends Enum<S>, A extends Enum<A>>(S to, Optional<A> action) {}
