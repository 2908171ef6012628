package org.dogwoodwinch.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SerialQueueTest {

    private final List<String> ran = new ArrayList<>();

    @Test
    void aTaskThatBringsAnotherIsFinishedFirst() {
        SerialQueue queue = new SerialQueue(_fault -> {});
        queue.execute(() -> {
            queue.execute(() -> ran.add("inner"));
            ran.add("outer");
        });
        assertEquals(List.of("outer", "inner"), ran);
    }

    /** A task throws: the fault is told, and the tasks after it still run, so that the caller gets its end. */
    @Test
    void aFaultDoesNotStopTheQueue() {
        SerialQueue queue = new SerialQueue(fault -> ran.add(fault.getMessage()));
        queue.execute(() -> {
            throw new IllegalStateException("fault");
        });
        queue.execute(() -> ran.add("next"));
        assertEquals(List.of("fault", "next"), ran);
    }
}
