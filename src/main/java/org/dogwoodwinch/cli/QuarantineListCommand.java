package org.dogwoodwinch.cli;

import java.util.List;
import java.util.concurrent.Callable;
import org.dogwoodwinch.request.QuarantineEndpoint;
import org.dogwoodwinch.request.QuarantinedRequest;
import org.dogwoodwinch.request.QuarantinedSegment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** {@code dogwoodwinchctl quarantine list}. */
@Command(
        name = "list",
        mixinStandardHelpOptions = true,
        description = "Lists the requests in quarantine, by fingerprint, and the prompt segments that are held back.")
public final class QuarantineListCommand implements Callable<Integer> {

    private static final int MILLIS_PER_SECOND = 1_000;

    @Mixin
    private InstanceOption instance;

    @Override
    public Integer call() {
        int code = instance.getList(QuarantineEndpoint.LIST_PATH, QuarantinedRequest.class, this::print);
        return code == ExitCodes.DONE
                ? instance.getList(QuarantineEndpoint.SEGMENTS_PATH, QuarantinedSegment.class, this::printSegments)
                : code;
    }

    private int printSegments(List<QuarantinedSegment> segments) {
        instance.line(
                "%-24s %-16s %8s %7s %15s %14s",
                "model", "segment", "crashes", "trials", "last crash (s)", "remaining (s)");
        for (QuarantinedSegment each : segments) {
            instance.line(
                    "%-24s %-16s %8d %7d %15d %14d",
                    each.model(),
                    each.segment(),
                    each.crashes(),
                    each.trials(),
                    each.lastCrashMillis() / MILLIS_PER_SECOND,
                    each.remainingMillis() / MILLIS_PER_SECOND);
        }
        return ExitCodes.DONE;
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
