package org.dogwoodwinch.standin.platform;

import java.util.Optional;

/** Decides which answers of a target are sent a second time, and how. */
@FunctionalInterface
public interface Stutter {

    /**
     * Returns what follows an answer.
     *
     * @param request the request that was answered, not null
     * @param answer the answer, not null
     * @return the second answer; empty if the target answers only once
     */
    Optional<SecondAnswer> after(StandInRequest request, GivenAnswer answer);
}
