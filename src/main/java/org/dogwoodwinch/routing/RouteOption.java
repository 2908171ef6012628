package org.dogwoodwinch.routing;

import java.util.Optional;

/**
 * One way to serve an attempt, with its score; a lower one is better.
 *
 * @param target generates the answer
 * @param prefillTarget computes the prompt first; empty where the target does both
 * @param expectedFirstTokenMillis when the first token is expected
 * @param score what the way is expected to cost
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
