package org.dogwoodwinch.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SerialExecutorTest {

    private final List<String> ran = new ArrayList<>();

    @Test
    void taskFinishesBeforeATaskThatItSubmits() {
        SerialExecutor executor = new SerialExecutor(_fault -> {});
        executor.execute(() -> {
            executor.execute(() -> ran.add("inner"));
            ran.add("outer");
        });
        assertEquals(List.of("outer", "inner"), ran);
    }

    /** If an exception stopped the executor, the caller of the request would never receive an answer. */
    @Test
    void laterTasksRunAfterATaskThrows() {
        SerialExecutor executor = new SerialExecutor(fault -> ran.add(fault.getMessage()));
        executor.execute(() -> {
            throw new IllegalStateException("fault");
        });
        executor.execute(() -> ran.add("next"));
        assertEquals(List.of("fault", "next"), ran);
    }
}
