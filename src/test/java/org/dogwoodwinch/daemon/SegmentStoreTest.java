package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.forwarding.HeldSegment;
import org.dogwoodwinch.forwarding.SegmentId;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class SegmentStoreTest {

    private static final SegmentId BAD = new SegmentId("m", "bad");

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final SimulatedSegmentTopic topic = new SimulatedSegmentTopic(time);
    private final SegmentStore first = topic.connect(() -> false);
    private final SegmentStore second = topic.connect(() -> false);
    private final List<Boolean> granted = new ArrayList<>();

    private static HeldSegment held(int trialsCount) {
        return new HeldSegment(BAD, 3, trialsCount, 0, 5_000);
    }

    private List<HeldSegment> restored() {
        List<HeldSegment> records = new ArrayList<>();
        topic.connect(() -> false).start(records::add);
        time.advanceMillis(100);
        return records;
    }

    /** Guards against a fleet that starts anew and ends targets to find out again what it knew. */
    @Test
    void instanceThatStartsLearnsWhatIsHeldBackAndHowOftenItWasTried() {
        first.keep(held(0));
        time.advanceMillis(100);
        first.claimTrial(held(0), 1, granted::add);
        time.advanceMillis(60_000);

        assertEquals(List.of(new HeldSegment(BAD, 3, 1, 60_000, 0)), restored());
    }

    @Test
    void oneOfTwoInstancesGetsATrial() {
        first.keep(held(0));
        time.advanceMillis(100);

        first.claimTrial(held(0), 1, granted::add);
        second.claimTrial(held(0), 1, granted::add);
        time.advanceMillis(100);
        second.claimTrial(held(0), 1, granted::add);
        time.advanceMillis(100);

        assertEquals(List.of(true, false, false), granted);
    }

    @Test
    void nobodyGetsATrialWhileTheStoreIsDown() {
        topic.isDown = true;
        first.claimTrial(held(0), 1, granted::add);
        time.advanceMillis(1_000);

        assertEquals(List.of(false), granted);
    }

    @Test
    void segmentIsRecordedOnceTheStoreIsBack() {
        topic.isDown = true;
        first.keep(held(0));
        time.advanceMillis(3_000);
        topic.isDown = false;
        time.advanceMillis(3_000);

        assertEquals(List.of(new HeldSegment(BAD, 3, 0, 6_004, 0)), restored());
    }

    @Test
    void laterRecordOfTheSameSegmentDoesNotTakeBackATrial() {
        first.keep(held(0));
        time.advanceMillis(100);
        first.claimTrial(held(0), 1, granted::add);
        time.advanceMillis(100);
        second.keep(held(0));
        time.advanceMillis(100);

        assertEquals(1, restored().get(0).trialsCount());
    }

    @Test
    void segmentThatIsReleasedIsNotRecordedLater() {
        topic.isDown = true;
        first.keep(held(0));
        first.forget(BAD);
        topic.isDown = false;
        time.advanceMillis(5_000);

        assertEquals(List.of(), restored());
    }

    /** Guards against a sound segment that instances that start later hold back again. */
    @Test
    void recordOfAReleasedSegmentIsRemovedOnceTheStoreIsBack() {
        first.keep(held(0));
        time.advanceMillis(100);
        topic.isDown = true;
        first.forget(BAD);
        time.advanceMillis(3_000);
        topic.isDown = false;
        time.advanceMillis(3_000);

        assertEquals(List.of(), restored());
    }

    /** Guards against segments that are held back in the same moment, of which all but one are recorded a second later. */
    @Test
    void segmentsThatAreHeldBackTogetherAreRecordedAtOnce() {
        for (int i = 0; i < 4; i++) {
            first.keep(new HeldSegment(new SegmentId("m", "bad" + i), 3, 0, 0, 5_000));
        }
        time.advanceMillis(100);

        assertEquals(4, restored().size());
    }

    /** Guards against records that the store loses when it comes back from a copy. */
    @Test
    void recordsAreWrittenAgainInANewEra() {
        first.keep(held(0));
        time.advanceMillis(100);
        topic.loseAll();

        first.beginEra();
        time.advanceMillis(100);

        assertEquals(1, restored().size());
    }
}
