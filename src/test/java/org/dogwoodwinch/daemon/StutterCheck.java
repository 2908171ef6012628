package org.dogwoodwinch.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwinch.standin.platform.GivenAnswer;
import org.dogwoodwinch.standin.platform.TargetStandIn;

/** Compares what a caller received with what the targets answered to that call. */
final class StutterCheck {

    /** Answers by which an instance states that a call did not run. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    private static final int DEADLINE_PASSED = 504;

    private final StutterReply reply;
    private final StutterCall call;
    private final List<GivenAnswer> given;
    private final int runsCount;
    private final boolean isAtSoundTargetsAlone;
    private final List<String> failures = new ArrayList<>();

    private StutterCheck(StutterReply reply, List<TargetStandIn> targets, Set<String> stutteringIds) {
        this.reply = reply;
        this.call = reply.call();
        this.given = targets.stream()
                .flatMap(target -> target.answersTo(call.id()).stream())
                .toList();
        this.runsCount =
                targets.stream().mapToInt(target -> target.runsOf(call.id())).sum();
        this.isAtSoundTargetsAlone = !given.isEmpty()
                && targets.stream()
                        .filter(target -> stutteringIds.contains(target.id()))
                        .allMatch(target -> target.answersTo(call.id()).isEmpty() && target.runsOf(call.id()) == 0);
    }

    /** Returns what is wrong with a reply, once all targets have written all that they will write. */
    static List<String> failuresOf(StutterReply reply, List<TargetStandIn> targets, Set<String> stutteringIds) {
        StutterCheck check = new StutterCheck(reply, targets, stutteringIds);
        check.check();
        return check.failures;
    }

    private void check() {
        if (runsCount > call.kind().maxRuns()) {
            fail("ran " + runsCount + " times");
        }
        if (reply.status() == 0) {
            fail("no answer");
        } else if (reply.isSuccess()) {
            checkSuccess();
        } else if (!reply.stamp().isEmpty()) {
            checkTargetFailure();
        } else {
            checkOwnFailure();
        }
        if (isAtSoundTargetsAlone) {
            checkSoundTargets();
        }
    }

    private void checkSuccess() {
        Optional<GivenAnswer> stamped = givenWithStamp();
        if (stamped.isEmpty()) {
            fail("a success with a stamp that no target gave this call");
        } else if (stamped.get().status() != reply.status()) {
            fail("a success where the target answered " + stamped.get().status());
        } else if (reply.isWhole() && !reply.body().equals(call.successBody())) {
            fail("another body than that of this call");
        } else if (!call.successBody().startsWith(reply.body())) {
            fail("a part of another body than that of this call");
        }
        if (!reply.header("Request-Id").equals(call.id())) {
            fail("a success with the id of another call");
        }
    }

    private void checkTargetFailure() {
        Optional<GivenAnswer> stamped = givenWithStamp();
        if (stamped.isEmpty()) {
            fail("a failure with a stamp that no target gave this call");
        } else if (stamped.get().status() != reply.status()) {
            fail("a failure where the target answered " + stamped.get().status());
        } else if (reply.isWhole() && !reply.body().equals(stamped.get().body().toUtf8())) {
            fail("another body than that of this call's failure");
        }
    }

    private void checkOwnFailure() {
        if (NOT_RUN.contains(reply.status()) && runsCount > 0) {
            fail("stated not to have run, but ran " + runsCount + " times");
        }
        if (reply.status() == DEADLINE_PASSED && given.stream().anyMatch(GivenAnswer::isWhole)) {
            fail("left until its deadline, though its target has answered");
        }
    }

    /** Targets that answer each call once and whole leave no call without an answer of theirs. */
    private void checkSoundTargets() {
        boolean hasSucceeded = given.stream().anyMatch(answer -> answer.status() == 200);
        if (hasSucceeded && !(reply.isSuccess() && reply.isWhole())) {
            fail("a success of a sound target is not received whole");
        } else if (runsCount > 0 && reply.stamp().isEmpty()) {
            fail("a failure of a sound target is not received");
        }
    }

    private Optional<GivenAnswer> givenWithStamp() {
        return given.stream()
                .filter(answer -> answer.stamp().equals(reply.stamp()))
                .findFirst();
    }

    private void fail(String what) {
        failures.add(call.kind() + " " + call.id() + ": " + what + "; received " + reply.status() + " "
                + reply.headers() + " " + reply.trouble() + " body " + shorten(reply.body()) + "; given "
                + given.stream()
                        .map(answer -> answer.status() + "/" + answer.stamp() + (answer.isWhole() ? "" : "/part"))
                        .toList());
    }

    private static String shorten(String text) {
        return "'" + (text.length() > 60 ? text.substring(0, 60) + "..." : text).replace("\n", "\\n") + "'";
    }
}
