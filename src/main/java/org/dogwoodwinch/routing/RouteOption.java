package org.dogwoodwinch.routing;

import java.util.Optional;

/**
 * One possible way to serve an attempt, with its score; a lower score is better.
 *
 * @param target the target that generates the answer
 * @param prefillTarget the target that computes the prompt first; empty if {@code target} does both
 * @param expectedFirstTokenMillis the expected time to the first token, in milliseconds
 * @param score the expected cost
 */
record RouteOption(
        TargetState target, Optional<TargetState> prefillTarget, double expectedFirstTokenMillis, double score) {

    static RouteOption better(RouteOption one, RouteOption other) {
        if (one == null) {
            return other;
        }
        return other == null || one.score() <= other.score() ? one : other;
    }

    Route toRoute() {
        return new Route.Chosen(
                target.target(),
                prefillTarget.map(TargetState::target),
                Math.max(0, Math.round(expectedFirstTokenMillis)));
    }
}
