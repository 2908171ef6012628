package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.dogwoodwinch.relay.LateAnswerPlay.Arrival;
import org.dogwoodwinch.relay.LateAnswerPlay.Methods;
import org.dogwoodwinch.relay.LateAnswerPlay.Reads;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Plays a target that answers a call a second time, late and cut at each byte, where it has to answer the next call on
 * the same connection. Each cut is played with each own answer, and the routes and the splits into reads take turns; all
 * of them: {@code -Dlate.answers=all}.
 */
class LateSecondAnswerTest {

    private static final List<String> PATHS = List.of("/once/a", "/safe/a", "/stream/a");

    /** Less than the combinations of routes and reads, so that each cut is played with each own answer. */
    private static final int AFTER_WRITE_STEP = 17;

    private static final int WITH_FIRST_ANSWER_STEP = 131;
    private static final int OTHER_STEP = 199;

    private static LateAnswerTally tally;

    private static int turn;

    @BeforeAll
    static void playAll() {
        tally = new LateAnswerTally();
        playSituation(AFTER_WRITE_STEP, Methods.GET_GET, Arrival.AFTER_WRITE, Early.NONE);
        playSituation(WITH_FIRST_ANSWER_STEP, Methods.GET_GET, Arrival.WITH_FIRST_ANSWER, Early.HALF);
        playSituation(WITH_FIRST_ANSWER_STEP, Methods.GET_GET, Arrival.WITH_FIRST_ANSWER, Early.ALL);
        playSituation(OTHER_STEP, Methods.GET_GET, Arrival.WHILE_IDLE, Early.HALF);
        playSituation(OTHER_STEP, Methods.GET_GET, Arrival.WHILE_IDLE, Early.ALL);
        playSituation(OTHER_STEP, Methods.HEAD_GET, Arrival.AFTER_WRITE, Early.NONE);
        playSituation(OTHER_STEP, Methods.GET_HEAD, Arrival.AFTER_WRITE, Early.NONE);
        playSituation(OTHER_STEP, Methods.HEAD_HEAD, Arrival.AFTER_WRITE, Early.NONE);
    }

    /** How much of the second answer arrives before the next call is written. */
    private enum Early {
        NONE,
        HALF,
        ALL;

        private int bytes(int cutAt) {
            return switch (this) {
                case NONE -> 0;
                case HALF -> (cutAt + 1) / 2;
                case ALL -> cutAt;
            };
        }
    }

    private static void playSituation(int step, Methods methods, Arrival arrival, Early early) {
        int usedStep = "all".equals(System.getProperty("late.answers")) ? 1 : step;
        for (LateAnswer late : LateAnswer.all()) {
            for (int cutAt = 0; cutAt <= late.text(methods.earlier()).length(); cutAt++) {
                for (OwnAnswer own : OwnAnswer.values()) {
                    for (String path : PATHS) {
                        for (Reads reads : Reads.values()) {
                            turn++;
                            if (turn % usedStep == 0) {
                                tally.play(new LateAnswerPlay(
                                        path, methods, late, cutAt, arrival, early.bytes(cutAt), own, reads));
                            }
                        }
                    }
                }
            }
        }
    }

    private static void assertNever(LateAnswerFault fault) {
        assertEquals(0, tally.count(fault), () -> tally.describe(fault));
    }

    /** Failure: plays that never get as far as the second answer show nothing. */
    @Test
    void playsHaveEachSoundOutcome() {
        assertTrue(tally.count("sent once, 200 with a stamp") > 100, tally::describeOutcomes);
        assertTrue(tally.count("sent once, 500 with a stamp") > 100, tally::describeOutcomes);
        assertTrue(tally.count("sent once, 504 with a stamp") > 100, tally::describeOutcomes);
        assertTrue(tally.count("sent once, 502 of the relay") > 100, tally::describeOutcomes);
        assertTrue(tally.count("sent again, 200 with a stamp") > 100, tally::describeOutcomes);
    }

    @Test
    void secondAnswerNeverChangesWhatEarlierCallerGets() {
        assertNever(LateAnswerFault.EARLIER_ANSWER_CHANGED);
    }

    /** Failure: the status line of the second answer and the id and signature of a failure are read as one success. */
    @Test
    void callerNeverGetsSuccessThatNoTargetGave() {
        assertNever(LateAnswerFault.FOREIGN_SUCCESS);
    }

    /** Failure: the caller gets a failure of another call, or one that is made up of two answers. */
    @Test
    void callerNeverGetsSignedFailureThatNoTargetGave() {
        assertNever(LateAnswerFault.FOREIGN_FAILURE);
    }

    /** Failure: a call that ran is sent to a second target since another call did not run. */
    @Test
    void callThatRunsOnceIsSentAgainOnlyIfItsOwnAnswerAllowsIt() {
        assertNever(LateAnswerFault.UNPROVED_SECOND_SEND);
    }

    @Test
    void callerIsNeverPromisedThatCallDidNotRunUnlessItsOwnAnswerStatesIt() {
        assertNever(LateAnswerFault.UNPROVED_PROMISE);
    }

    /** Failure: the second answer takes the own answer for its rest, and the caller waits until its deadline. */
    @Test
    void callerIsAnsweredAsSoonAsAllBytesHaveArrived() {
        assertNever(LateAnswerFault.WAITS);
    }

    /** Failure: a call fails although its own answer follows a whole other one, or comes on a new connection. */
    @Test
    void ownAnswerReachesCallerUnlessCutAnswerIsMixedWithIt() {
        assertNever(LateAnswerFault.OWN_ANSWER_LOST);
    }
}
