package org.dogwoodwinch.chart;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A checked state chart; immutable.
 *
 * @param <S> the states
 * @param <E> the events
 * @param <A> the actions
 */
public final class StateChart<S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> {

    private final S initial;
    private final Set<S> finals;
    private final Map<S, Map<E, ChartStep<S, A>>> steps;

    /**
     * Creates a chart that {@link ChartReader} has checked.
     *
     * @param initial the first state, not null
     * @param finals the states that no event leaves, not null
     * @param steps the step of each state and event; an event that a state ignores has none, not null
     */
    StateChart(S initial, Set<S> finals, Map<S, Map<E, ChartStep<S, A>>> steps) {
        this.initial = initial;
        this.finals = Set.copyOf(finals);
        this.steps = new EnumMap<>(steps);
    }

    /**
     * Returns the first state.
     *
     * @return the state
     */
    public S initial() {
        return initial;
    }

    /**
     * Says whether a state is final.
     *
     * @param state the state, not null
     * @return true where no event leaves it
     */
    public boolean isFinal(S state) {
        return finals.contains(state);
    }

    /**
     * Looks an event up.
     *
     * @param state the state that the event comes in, not null
     * @param event the event, not null
     * @return where it leads, or empty where the state ignores it
     */
    public Optional<ChartStep<S, A>> next(S state, E event) {
        return Optional.ofNullable(steps.getOrDefault(state, Map.of()).get(event));
    }
}
