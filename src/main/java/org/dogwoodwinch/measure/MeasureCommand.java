package org.dogwoodwinch.measure;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.PrintWriter;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The launcher behind {@code bin/measure}. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description = "Runs a measurement and prints its figures; exits with 1 where a stated bound is missed.")
public final class MeasureCommand implements Callable<Integer> {

    private static final int EXIT_HELD = 0;
    private static final int EXIT_MISSED = 1;
    private static final int EXIT_USAGE = 2;

    @Spec
    private CommandSpec spec;

    @Parameters(index = "0", arity = "0..1", paramLabel = "NAME", description = "The measurement.")
    private String name;

    @Option(names = "--list", description = "List the measurements.")
    private boolean list;

    @Option(names = "--quick", description = "End within 50 s, with fewer repetitions.")
    private boolean quick;

    @Option(names = "--json", description = "Print the figures as JSON.")
    private boolean json;

    /**
     * Runs the launcher and exits.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(new MeasureCommand()).execute(args));
    }

    @Override
    public Integer call() throws JsonProcessingException {
        PrintWriter out = spec.commandLine().getOut();
        if (list || name == null) {
            Measurements.all().forEach(each -> out.printf("%-12s %s%n", each.name(), each.description()));
            return list ? EXIT_HELD : EXIT_USAGE;
        }
        Optional<Measurement> measurement = Measurements.find(name);
        if (measurement.isEmpty()) {
            spec.commandLine().getErr().println("measure: no measurement is named '" + name + "'; see --list");
            return EXIT_USAGE;
        }
        MeasurementReport report = measurement.get().run(quick);
        out.println(json ? toJson(report) : MeasurementPrinter.toText(report));
        out.flush();
        return report.allBoundsHeld() ? EXIT_HELD : EXIT_MISSED;
    }

    private static String toJson(MeasurementReport report) throws JsonProcessingException {
        return new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(report);
    }
}
