package org.dogwoodwinch.forwarding;

import org.apache.commons.rng.simple.RandomSource;

/** Creates rests for tests in which no target asks for one. */
public final class NoRests {

    private NoRests() {}

    /**
     * Creates an instance without rests.
     *
     * @return the instance
     */
    public static TargetRests create() {
        return new TargetRests(() -> 0, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
    }
}
