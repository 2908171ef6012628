package org.dogwoodwinch.faultrun;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.request.RunState;
import org.junit.jupiter.api.Test;

/** The harness must not take a cut answer for whole: then a fault of the system would pass for health. */
class CallReplyReaderTest {

    private static final String PIECE = "data: {\"choices\":[{\"index\":0,\"text\":\"abc \"}]}\n\n";

    private final CallPlan streamed = plan(true);

    @Test
    void aStreamIsWholeOnlyWithItsEnd() {
        assertEquals(
                new CallResult.Answered("abc abc "),
                CallReplyReader.read(streamed, 200, PIECE + PIECE + "data: [DONE]\n\n"));
        assertEquals(
                new CallResult.Lost(true, "a stream without its end"),
                CallReplyReader.read(streamed, 200, PIECE + PIECE));
    }

    @Test
    void anErrorEventAfterAPartIsARefusal() {
        String error = "event: error\ndata: {\"error\":{},\"problem\":"
                + "{\"reason\":\"answer_cut\",\"run\":\"may-have-run\",\"retryAfterMillis\":5}}\n\n";
        assertEquals(
                new CallResult.Refused(RefusalReason.ANSWER_CUT, RunState.MAY_HAVE_RUN, 5),
                CallReplyReader.read(streamed, 200, PIECE + error));
    }

    @Test
    void aProblemIsARefusal() {
        assertEquals(
                new CallResult.Refused(RefusalReason.QUEUE_FULL, RunState.NOT_RUN, 0),
                CallReplyReader.read(plan(false), 503, "{\"reason\":\"queue_full\",\"run\":\"not-run\"}"));
    }

    @Test
    void aReasonThatIsNotOnTheListIsNoRefusal() {
        assertEquals(
                new CallResult.Lost(true, "status 500 with the unknown reason 'oops'"),
                CallReplyReader.read(plan(false), 500, "{\"reason\":\"oops\"}"));
    }

    private static CallPlan plan(boolean streamed) {
        return new CallPlan("r1", "slot", WorkClass.URGENT, true, false, streamed, "prompt", "answer");
    }
}
