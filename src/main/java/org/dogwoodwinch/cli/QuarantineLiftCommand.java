package org.dogwoodwinch.cli;

import java.util.concurrent.Callable;
import org.dogwoodwinch.request.QuarantineEndpoint;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** {@code dogwoodwinchctl quarantine lift}. */
@Command(
        name = "lift",
        mixinStandardHelpOptions = true,
        description = "Lifts a quarantine on all instances; exits with 1 where the instance asked knew of none.")
public final class QuarantineLiftCommand implements Callable<Integer> {

    @Mixin
    private InstanceOption instance;

    @Parameters(index = "0", paramLabel = "FINGERPRINT", description = "Sixteen hexadecimal digits, as listed.")
    private String fingerprint;

    @Override
    public Integer call() {
        return instance.post(
                QuarantineEndpoint.LIFT_PATH,
                new QuarantineEndpoint.LiftRequest(fingerprint),
                QuarantineEndpoint.LiftResponse.class,
                this::print);
    }

    private int print(QuarantineEndpoint.LiftResponse answer) {
        instance.line("%s %s", answer.fingerprint(), answer.lifted() ? "lifted" : "was not in quarantine here");
        return answer.lifted() ? ExitCodes.DONE : ExitCodes.REFUSED;
    }
}
