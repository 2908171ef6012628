package org.dogwoodwinch.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.dogwoodwinch.replay.Deployment;
import org.dogwoodwinch.replay.TraceCodec;
import org.dogwoodwinch.replay.TraceGenerator;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code dogwoodwinchctl trace}: writes a trace of a deployment's workload from a seed. */
@Command(name = "trace", mixinStandardHelpOptions = true, description = "Writes a trace made from a seed.")
public final class TraceCommand implements Callable<Integer> {

    @Parameters(index = "0", paramLabel = "FILE", description = "Where to write the trace.")
    private Path file;

    @Option(names = "--deployment", defaultValue = "MALABAR", description = "MALABAR or ALBUQUERQUE.")
    private Deployment deployment;

    @Option(names = "--seed", defaultValue = "1", description = "The seed.")
    private long seed;

    @Option(names = "--seconds", defaultValue = "300", description = "How long requests arrive.")
    private long seconds;

    @Option(names = "--load", defaultValue = "1", description = "Factor on all arrival rates.")
    private double load;

    @Override
    public Integer call() throws IOException {
        TraceCodec.write(new TraceGenerator(deployment, seed, seconds * 1_000, load).generate(), file);
        return ExitCodes.DONE;
    }
}
