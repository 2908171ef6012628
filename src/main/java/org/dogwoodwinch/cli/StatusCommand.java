package org.dogwoodwinch.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.dogwoodwinch.status.InstanceStatus;
import org.dogwoodwinch.status.PeerStatus;
import org.dogwoodwinch.status.TargetStatus;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code dogwoodwinchctl status}: prints the fleet as one instance sees it. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Prints the fleet as one instance sees it, as a table or as JSON.")
public final class StatusCommand implements Callable<Integer> {

    private static final String TARGET_FORMAT = "%-18s %-14s %-12s %-21s %-9s %-8s %10s %10s %6s %8s%n";

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--instance",
            paramLabel = "URL",
            defaultValue = "http://127.0.0.1:8081",
            description = "The instance's operators' listener (default: ${DEFAULT-VALUE}).")
    private String instanceUrl;

    @Option(names = "--json", description = "Print the instance's JSON as it came.")
    private boolean json;

    @Override
    public Integer call() {
        Optional<OperatorReply> reply = new OperatorClient(instanceUrl).get("/status");
        PrintWriter err = spec.commandLine().getErr();
        if (reply.isEmpty()) {
            err.println("no answer from " + instanceUrl);
            return ExitCodes.UNREACHABLE;
        }
        if (!reply.get().isSuccess()) {
            err.println(reply.get().body());
            return ExitCodes.REFUSED;
        }
        return print(reply.get().body());
    }

    private int print(String body) {
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            out.println(body);
            out.flush();
            return ExitCodes.DONE;
        }
        try {
            printTable(out, new ObjectMapper().readValue(body, InstanceStatus.class));
        } catch (JsonProcessingException e) {
            spec.commandLine().getErr().println("not a status: " + e.getOriginalMessage());
            return ExitCodes.UNREACHABLE;
        }
        return ExitCodes.DONE;
    }

    private static void printTable(PrintWriter out, InstanceStatus status) {
        out.printf(
                "instance %s in %s: %s, catalogue revision %d, log %s at offset %d, %d requests in flight, leases %s%n%n",
                status.instance(),
                status.dataCentre(),
                state(status),
                status.catalogueRevision(),
                status.logReachable() ? "reachable" : "out",
                status.logOffset(),
                status.inFlightRequests(),
                status.leases());
        out.printf(
                TARGET_FORMAT,
                "target",
                "group",
                "data centre",
                "address",
                "state",
                "role",
                "prefill",
                "decode",
                "here",
                "age ms");
        for (TargetStatus target : status.targets()) {
            out.printf(
                    TARGET_FORMAT,
                    target.name(),
                    target.group(),
                    target.dataCentre(),
                    target.address(),
                    target.state(),
                    target.role(),
                    target.prefillTokens(),
                    target.decodeTokens(),
                    target.inFlightHere(),
                    target.reportAgeMillis());
        }
        out.printf("%n%-18s %-12s %10s%n", "peer", "data centre", "heard ms");
        for (PeerStatus peer : status.peers()) {
            out.printf("%-18s %-12s %10d%n", peer.name(), peer.dataCentre(), peer.heardMillis());
        }
        out.flush();
    }

    private static String state(InstanceStatus status) {
        if (status.stopping()) {
            return "stopping";
        }
        return status.ready() ? "ready" : "not ready";
    }
}
