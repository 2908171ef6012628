package org.dogwoodwinch.standin.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Sends calls of every kind, and with every fault of a target, through running daemons and prints what came. */
@Command(
        name = "forwarding-demo",
        mixinStandardHelpOptions = true,
        description =
                "Sends calls through daemons that run in front of the platform's stand-ins; exits with 1 where one "
                        + "is not answered as it should be.")
public final class ForwardingDemoMain implements Callable<Integer> {

    private static final Pattern READY_PORT = Pattern.compile("event=started .*\\bport=(\\d+) readyPort=(\\d+)");
    private static final long START_MILLIS = 30_000;
    private static final long LOOK_MILLIS = 100;

    @Option(names = "--daemon-log", required = true, description = "The log of a daemon; one for each.")
    private List<Path> logs;

    private int wrong;

    /**
     * Runs the demo.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(new ForwardingDemoMain()).execute(args));
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        List<Integer> ports = new ArrayList<>();
        for (Path log : logs) {
            ports.add(waitUntilReady(log));
        }
        System.out.printf(Locale.ROOT, "%-10s %-13s %-6s %s%n", "route", "fault", "status", "answer");
        int number = 0;
        for (String path : List.of("/safe/a", "/once/a", "/stream/a", "/resume/a")) {
            for (TargetFault fault : TargetFault.values()) {
                show(ports.get(number % ports.size()), path, fault, "demo-" + number);
                number++;
            }
        }
        System.out.println(wrong == 0 ? "every call was answered as its kind allows" : wrong + " wrong answers");
        return wrong == 0 ? 0 : 1;
    }

    private void show(int port, String path, TargetFault fault, String id) throws IOException {
        String answer = DemoCalls.ask(port, DemoCalls.request(path, fault, id));
        String status = answer.length() < 12 ? "cut" : answer.substring(9, 12);
        String body = answer.substring(Math.max(0, answer.indexOf("\r\n\r\n") + 4));
        String shown = body.replaceAll("\\s+", " ");
        System.out.printf(
                Locale.ROOT,
                "%-10s %-13s %-6s %s%n",
                path,
                fault.name().toLowerCase(Locale.ROOT),
                status,
                shown.substring(0, Math.min(60, shown.length())));
        if (!allowedStatuses(path, fault).contains(status)) {
            wrong++;
        }
    }

    /**
     * Returns the statuses that a caller may get. A call that may run once is never repeated after it may have run, and never
     * said not to have run then. One that may run twice is, and may find no other target that is not left out for a while.
     */
    private static Set<String> allowedStatuses(String path, TargetFault fault) {
        boolean isStream = path.startsWith("/stream") || path.startsWith("/resume");
        boolean mayRunTwice = path.startsWith("/safe") || path.startsWith("/resume");
        return switch (fault) {
            case NONE, EXTRA_ANSWER, UNFRAMED -> Set.of("200");
            case CUT, UNFRAMED_CUT -> Set.of(isStream ? "200" : "502");
            case ANSWER_LOST, GARBLED -> Set.of("502");
            case REJECTED -> Set.of("503");
            case FAILED -> mayRunTwice ? Set.of("500", "502") : Set.of("500");
            case TIMED_OUT -> Set.of("504");
        };
    }

    private static int waitUntilReady(Path log) throws IOException, InterruptedException {
        for (long waited = 0; waited < START_MILLIS; waited += LOOK_MILLIS) {
            Optional<Matcher> started = started(log);
            if (started.isPresent()
                    && DemoCalls.ready(Integer.parseInt(started.get().group(2)))) {
                return Integer.parseInt(started.get().group(1));
            }
            Thread.sleep(LOOK_MILLIS);
        }
        throw new IOException("not ready: " + log);
    }

    private static Optional<Matcher> started(Path log) throws IOException {
        Matcher found = READY_PORT.matcher(Files.exists(log) ? Files.readString(log) : "");
        return found.find() ? Optional.of(found) : Optional.empty();
    }
}
