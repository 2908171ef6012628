package org.dogwoodwinch.target;

import java.util.function.Function;

/**
 * The outcome of a short call to a target.
 *
 * @param <T> the type of the answer
 */
public sealed interface TargetReply<T> {

    /**
     * The target answered.
     *
     * @param value the answer
     * @param <T> the type of the answer
     */
    record Answer<T>(T value) implements TargetReply<T> {}

    /**
     * The call failed.
     *
     * @param failure the reason
     * @param <T> the type of the missing answer
     */
    record Failure<T>(TargetFailure failure) implements TargetReply<T> {}

    /**
     * Calls the function that matches the outcome.
     *
     * @param answer called for {@link Answer}
     * @param failure called for {@link Failure}
     * @param <R> the result type of the functions
     * @return the result of the called function
     */
    default <R> R match(Function<T, R> answer, Function<TargetFailure, R> failure) {
        if (this instanceof Answer<T> value) {
            return answer.apply(value.value());
        }
        return failure.apply(((Failure<T>) this).failure());
    }
}
