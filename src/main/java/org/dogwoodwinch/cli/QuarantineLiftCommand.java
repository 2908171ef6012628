package org.dogwoodwinch.cli;

import java.util.concurrent.Callable;
import org.dogwoodwinch.request.QuarantineEndpoint;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code dogwoodwinchctl quarantine lift}. */
@Command(
        name = "lift",
        mixinStandardHelpOptions = true,
        description = "Lifts a quarantine on all instances; exits with 1 where the instance asked knew of none.")
public final class QuarantineLiftCommand implements Callable<Integer> {

    @Mixin
    private InstanceOption instance;

    @ArgGroup(multiplicity = "1")
    private Subject subject;

    @Option(names = "--model", defaultValue = "", description = "The model of the segment, as listed.")
    private String model;

    /** What is lifted: a request or a segment. */
    private static final class Subject {
        @Parameters(index = "0", paramLabel = "FINGERPRINT", description = "Sixteen hexadecimal digits, as listed.")
        private String fingerprint;

        @Option(names = "--segment", paramLabel = "ID", description = "A prompt segment, as listed.")
        private String segment;
    }

    @Override
    public Integer call() {
        if (subject.segment != null) {
            return instance.post(
                    QuarantineEndpoint.LIFT_SEGMENT_PATH,
                    new QuarantineEndpoint.SegmentLiftRequest(model, subject.segment),
                    QuarantineEndpoint.SegmentLiftResponse.class,
                    answer -> print(answer.model() + "/" + answer.segment(), answer.lifted()));
        }
        return instance.post(
                QuarantineEndpoint.LIFT_PATH,
                new QuarantineEndpoint.LiftRequest(subject.fingerprint),
                QuarantineEndpoint.LiftResponse.class,
                answer -> print(answer.fingerprint(), answer.lifted()));
    }

    private int print(String lifted, boolean wasHeld) {
        instance.line("%s %s", lifted, wasHeld ? "lifted" : "was not in quarantine here");
        return wasHeld ? ExitCodes.DONE : ExitCodes.REFUSED;
    }
}
