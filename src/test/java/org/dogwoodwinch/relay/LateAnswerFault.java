package org.dogwoodwinch.relay;

import java.util.EnumSet;
import java.util.Set;

/** What is wrong with the answer that a caller got although a second answer to another call arrived before its own. */
enum LateAnswerFault {
    /** The second answer changes what the caller of the earlier call gets. */
    EARLIER_ANSWER_CHANGED,
    /** The caller gets a success that no target gave to its call, or another one than that target gave. */
    FOREIGN_SUCCESS,
    /** The caller gets a failure with a signature that differs from what the target answered to its call. */
    FOREIGN_FAILURE,
    /** A call that must not run twice is sent to a second target although the first one has not stated that it did not run. */
    UNPROVED_SECOND_SEND,
    /** The caller is promised that its call did not run although no target stated it. */
    UNPROVED_PROMISE,
    /** All bytes have arrived that will ever arrive, and the caller waits until its deadline. */
    WAITS,
    /** The call's own answer stands whole after a whole other one, or alone, and does not reach the caller as it is. */
    OWN_ANSWER_LOST;

    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    /**
     * Judges a play.
     *
     * @param play the play
     * @param result what it led to
     * @param undisturbed what the same call leads to without a second answer
     * @param otherSuccess what a caller receives of the success of the second target
     * @return all that is wrong; empty if nothing is
     */
    static Set<LateAnswerFault> judge(
            LateAnswerPlay play,
            LateAnswerPlay.Result result,
            LateAnswerPlay.Result undisturbed,
            ReceivedAnswer otherSuccess) {
        Set<LateAnswerFault> faults = EnumSet.noneOf(LateAnswerFault.class);
        ReceivedAnswer received = result.received();
        if (!result.earlierReceived().equals(undisturbed.earlierReceived())) {
            faults.add(EARLIER_ANSWER_CHANGED);
        }
        boolean isOfOther = result.sends() > 1 && received.isBeginOf(otherSuccess);
        boolean isOwn = play.own() == OwnAnswer.SUCCESS && received.isBeginOf(undisturbed.received());
        if (received.isSuccess() && !isOwn && !isOfOther) {
            faults.add(FOREIGN_SUCCESS);
        }
        if (!received.isSuccess() && !received.stamp().isEmpty() && !play.isOwnFailure(received)) {
            faults.add(FOREIGN_FAILURE);
        }
        if (play.runsOnce() && result.sends() > 1 && !isNotRunProved(play, result)) {
            faults.add(UNPROVED_SECOND_SEND);
        }
        if (PROMISES.contains(received.status()) && !isNotRunProved(play, result)) {
            faults.add(UNPROVED_PROMISE);
        }
        if (result.waiting()) {
            faults.add(WAITS);
        }
        if (mustReachCaller(play, result)
                && !(received.equals(undisturbed.received()) && result.sends() == undisturbed.sends())) {
            faults.add(OWN_ANSWER_LOST);
        }
        return faults;
    }

    /** Returns whether the own answer states that the call did not run, and no other bytes can be taken for a part of it. */
    private static boolean isNotRunProved(LateAnswerPlay play, LateAnswerPlay.Result result) {
        boolean isAlone = !result.onKeptConnection() || play.cutAt() == 0;
        boolean isAfterWholeAnswer =
                play.isLateWhole() && (play.late().idStated() || !play.late().notRunStated());
        return play.own() == OwnAnswer.NOT_RUN && (isAlone || isAfterWholeAnswer);
    }

    private static boolean mustReachCaller(LateAnswerPlay play, LateAnswerPlay.Result result) {
        boolean isAlone = !result.onKeptConnection() || play.cutAt() == 0;
        return isAlone || (play.isLateWhole() && play.isLateSeparable());
    }
}
