package org.dogwoodwinch.scaling;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * A plan and the era for which it was decided, as they are stored in the log. It is recorded before its orders are
 * sent, so that a successor knows what its predecessor may have ordered.
 *
 * <p>Failure: the store comes back from a copy whose newest plan is an old one, and a holder that sends it again releases
 * the engines that were ordered since. A record therefore states the era of the store in which it was decided.
 *
 * @param era the era of the store for which the plan was decided
 * @param plan the plan, not null
 */
public record RecordedPlan(long era, ScalePlan plan) {

    private static final int FIELD_COUNT = 2;
    private static final int POOL_FIELD_COUNT = 3;

    /** More engines than any pool has; a larger number shows that the record is corrupt. */
    private static final int MAX_COUNT = 1_000_000;

    /** Validates the components. */
    public RecordedPlan {
        Objects.requireNonNull(plan, "plan");
    }

    /**
     * Encodes the plan for the log.
     *
     * @return the bytes; the same for equal plans
     */
    public Bytes encode() {
        return Packing.pack(this, RecordedPlan::write);
    }

    /**
     * Decodes a plan.
     *
     * @param content the bytes, not null
     * @return the plan
     * @throws IOException if the bytes are malformed
     */
    public static RecordedPlan decode(Bytes content) throws IOException {
        return Packing.unpack(content.toByteArray(), RecordedPlan::read);
    }

    private static void write(MessagePacker packer, RecordedPlan recorded) throws IOException {
        packer.packArrayHeader(FIELD_COUNT);
        packer.packLong(recorded.era);
        Packing.writeAll(packer, recorded.plan.inOrder().entrySet(), (to, pool) -> {
            to.packArrayHeader(POOL_FIELD_COUNT);
            to.packString(pool.getKey().dataCentre());
            to.packBoolean(pool.getKey().kind() == EngineKind.SPOT);
            to.packInt(pool.getValue());
        });
    }

    private static RecordedPlan read(MessageUnpacker unpacker) throws IOException {
        Packing.expectFields(unpacker, FIELD_COUNT);
        long era = unpacker.unpackLong();
        List<Map.Entry<EnginePool, Integer>> pools = Packing.readAll(unpacker, RecordedPlan::readPool);
        if (pools.stream().map(Map.Entry::getKey).distinct().count() != pools.size()) {
            throw new IOException("a pool occurs twice");
        }
        return new RecordedPlan(
                era, new ScalePlan(pools.stream().collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue))));
    }

    private static Map.Entry<EnginePool, Integer> readPool(MessageUnpacker unpacker) throws IOException {
        Packing.expectFields(unpacker, POOL_FIELD_COUNT);
        String dataCentre = unpacker.unpackString();
        EngineKind kind = unpacker.unpackBoolean() ? EngineKind.SPOT : EngineKind.ON_DEMAND;
        int count = unpacker.unpackInt();
        if (count > MAX_COUNT) {
            throw new IOException("desired count too large: " + count + ", at most " + MAX_COUNT);
        }
        return Map.entry(new EnginePool(dataCentre, kind), count);
    }
}
