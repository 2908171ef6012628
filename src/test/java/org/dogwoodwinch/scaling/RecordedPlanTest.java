package org.dogwoodwinch.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.junit.jupiter.api.Test;

class RecordedPlanTest {

    private static final RecordedPlan RECORDED = new RecordedPlan(
            7,
            new ScalePlan(Map.of(
                    new EnginePool("mdp-a", EngineKind.ON_DEMAND), 3,
                    new EnginePool("mdp-a", EngineKind.SPOT), 6,
                    new EnginePool("mdp-b", EngineKind.SPOT), 0)));

    @Test
    void decodesWhatItEncodes() throws IOException {
        assertEquals(RECORDED, RecordedPlan.decode(RECORDED.encode()));
        RecordedPlan none = new RecordedPlan(0, ScalePlan.NONE);
        assertEquals(none, RecordedPlan.decode(none.encode()));
    }

    /** Failure: a record that another version wrote, or a damaged one, ends the instance's steps by an exception. */
    @Test
    void damagedRecordIsRejectedOrDecoded() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);
        int rejectedCount = 0;
        for (int round = 0; round < 5_000; round++) {
            byte[] content = RECORDED.encode().toByteArray();
            content[random.nextInt(content.length)] = (byte) random.nextInt(256);
            byte[] damaged = random.nextBoolean() ? content : Arrays.copyOf(content, random.nextInt(content.length));
            try {
                assertTrue(RecordedPlan.decode(Bytes.of(damaged))
                                .plan()
                                .desiredCounts()
                                .size()
                        <= 3);
            } catch (IOException e) {
                rejectedCount++;
            }
        }
        assertTrue(rejectedCount > 2_500, rejectedCount + " rejected");
        assertThrows(IOException.class, () -> RecordedPlan.decode(Bytes.EMPTY));
    }
}
