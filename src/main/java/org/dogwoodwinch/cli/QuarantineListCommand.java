package org.dogwoodwinch.cli;

import java.util.List;
import java.util.concurrent.Callable;
import org.dogwoodwinch.request.QuarantineEndpoint;
import org.dogwoodwinch.request.QuarantinedRequest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** {@code dogwoodwinchctl quarantine list}. */
@Command(
        name = "list",
        mixinStandardHelpOptions = true,
        description = "Lists the requests in quarantine, by fingerprint.")
public final class QuarantineListCommand implements Callable<Integer> {

    private static final int MILLIS_PER_SECOND = 1_000;

    @Mixin
    private InstanceOption instance;

    @Override
    public Integer call() {
        return instance.getList(QuarantineEndpoint.LIST_PATH, QuarantinedRequest.class, this::print);
    }

    private int print(List<QuarantinedRequest> requests) {
        instance.line("%-16s %8s %14s", "fingerprint", "crashes", "remaining (s)");
        for (QuarantinedRequest each : requests) {
            instance.line(
                    "%-16s %8d %14d", each.fingerprint(), each.crashes(), each.remainingMillis() / MILLIS_PER_SECOND);
        }
        return ExitCodes.DONE;
    }
}
