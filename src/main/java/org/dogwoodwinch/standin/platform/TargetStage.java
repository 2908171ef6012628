package org.dogwoodwinch.standin.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.time.TimeSource;

/** The stage of a stand-in engine and the orders that change it. Used on one event loop alone. */
final class TargetStage {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final TimeSource time;
    private final long switchMillis;
    private String name;
    private long readyAtMillis;
    private long highestFence = -1;
    private int ordersCount;

    /**
     * Creates the stage of an engine that has received no order.
     *
     * @param name the stage's name; empty for a plain service, not null
     * @param switchMillis how long a change of stage takes the engine away
     * @param time tells when the engine is back, not null
     */
    TargetStage(String name, long switchMillis, TimeSource time) {
        this.name = Objects.requireNonNull(name, "name");
        this.switchMillis = switchMillis;
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Returns the stage's name; empty for a plain service. */
    String name() {
        return name;
    }

    /** Returns whether the engine is changing its stage. */
    boolean isSwitching() {
        return time.monotonicMillis() < readyAtMillis;
    }

    /** Returns how many orders were accepted. */
    int ordersCount() {
        return ordersCount;
    }

    /**
     * Carries out an order, or refuses it.
     *
     * @param body the order, not null
     * @param answer takes the answer, not null
     */
    void order(Bytes body, StandInAnswer answer) {
        try {
            ObjectNode order = (ObjectNode) JSON.readTree(body.toByteArray());
            if (!order.path("fence").isNumber() || order.path("holder").asText().isEmpty()) {
                answer.whole(400, Map.of(), new byte[0]);
                return;
            }
            long fence = order.path("fence").asLong();
            if (fence < highestFence) {
                answer.whole(412, Map.of(), new byte[0]);
                return;
            }
            highestFence = fence;
            answer.whole(obey(order), Map.of(), new byte[0]);
        } catch (IOException | ClassCastException e) {
            answer.whole(400, Map.of(), String.valueOf(e.getMessage()).getBytes(StandardCharsets.UTF_8));
        }
    }

    private int obey(ObjectNode order) {
        boolean isOfOtherState = order.has("expected") && order.path("expected").asInt() != ordersCount;
        if (isOfOtherState || isSwitching()) {
            return 409;
        }
        String wanted = order.path("stage").asText();
        if (wanted.equals(name)) {
            return 200;
        }
        ordersCount++;
        name = wanted;
        readyAtMillis = time.monotonicMillis() + switchMillis;
        return 202;
    }
}
