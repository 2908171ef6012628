package org.dogwoodwinch.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class StoreErasTest {

    private final StoreEras eras = new StoreEras();
    private final List<Long> newEras = new ArrayList<>();
    private final List<Long> anyEras = new ArrayList<>();

    /** The first era that a process sees does not show that the store has come back from a copy. */
    @Test
    void firstEraIsNoNewOne() {
        eras.onNewEra(newEras::add);
        eras.onEra(anyEras::add);
        eras.observe(0);
        eras.observe(2);

        assertEquals(List.of(2L), newEras);
        assertEquals(List.of(0L, 2L), anyEras);
    }

    @Test
    void earlierOrRepeatedEraIsIgnored() {
        eras.onEra(anyEras::add);
        eras.observe(2);
        eras.observe(1);
        eras.observe(2);

        assertEquals(List.of(2L), anyEras);
        assertEquals(2, eras.latest());
    }
}
