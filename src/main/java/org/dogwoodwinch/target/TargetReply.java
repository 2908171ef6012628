package org.dogwoodwinch.target;

import java.util.function.Function;

/**
 * The outcome of a short call to a target.
 *
 * @param <T> what the target answers
 */
public sealed interface TargetReply<T> {

    /**
     * The target answered.
     *
     * @param value the answer
     * @param <T> its type
     */
    record Answer<T>(T value) implements TargetReply<T> {}

    /**
     * The call failed.
     *
     * @param failure why
     * @param <T> the type of the answer that did not come
     */
    record Failure<T>(TargetFailure failure) implements TargetReply<T> {}

    /**
     * Calls the function of this result's kind.
     *
     * @param answer for {@link Answer}
     * @param failure for {@link Failure}
     * @param <R> what the functions return
     * @return what the function returned
     */
    default <R> R match(Function<T, R> answer, Function<TargetFailure, R> failure) {
        if (this instanceof Answer<T> value) {
            return answer.apply(value.value());
        }
        return failure.apply(((Failure<T>) this).failure());
    }
}
