package org.dogwoodwinch.standin.http;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.standin.EngineCost;
import org.dogwoodwinch.standin.StandInEngineObserver;
import org.dogwoodwinch.standin.StandInEngineOptions;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.http.TargetJson;
import org.dogwoodwinch.time.SystemTimeSource;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a whole set of stand-ins as one process, for the demo and for measurements. */
@Command(
        name = "standins",
        mixinStandardHelpOptions = true,
        description = "Runs stand-ins of the platform, of engines and of plain services on free loopback ports, and "
                + "prints where they are as one line of JSON.")
public final class StandInMain implements Callable<Integer> {

    private static final int TIMER_THREADS = 2;

    @Option(names = "--engines", description = "Engines of each group.", defaultValue = "3")
    private int engines;

    @Option(names = "--groups", split = ",", description = "Engine groups.", defaultValue = "booking,reading")
    private String[] groups;

    @Option(names = "--services", split = ",", description = "Plain services.", defaultValue = "script-check")
    private String[] services;

    @Option(names = "--data-centres", split = ",", description = "Data centres.", defaultValue = "kakkanad,vyttila")
    private String[] dataCentres;

    @Option(names = "--list-lag-millis", description = "Lag of the instance list.", defaultValue = "500")
    private long listLagMillis;

    @Option(names = "--max-sequences", description = "Most sequences in an engine's batch.", defaultValue = "48")
    private int maxSequences;

    @Option(names = "--step-millis", description = "Time of an engine's step.", defaultValue = "12")
    private double stepMillis;

    @Option(
            names = "--step-per-sequence-millis",
            description = "Time that each sequence adds to a step.",
            defaultValue = "0.4")
    private double stepPerSequenceMillis;

    @Option(
            names = "--prefill-tokens-per-second",
            description = "Prompt tokens that an engine computes a second.",
            defaultValue = "8000")
    private double prefillTokensPerSecond;

    /**
     * Runs the stand-ins until the process is ended.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(new StandInMain()).execute(args));
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        ScheduledExecutorService timers = Executors.newScheduledThreadPool(TIMER_THREADS);
        EventLoopGroup group = new NioEventLoopGroup();
        StandInFleet fleet =
                new StandInFleet(group, new SystemTimeSource(timers), listLagMillis, StandInEngineObserver.NONE);
        addEngines(fleet);
        for (String service : services) {
            fleet.addService(service + "-1", service, dataCentres[0]);
        }
        System.out.println(Bytes.of(TargetJson.write(fleet.addresses())).toUtf8());
        new CountDownLatch(1).await();
        return 0;
    }

    private void addEngines(StandInFleet fleet) throws IOException {
        EngineCost standard = EngineCost.STANDARD;
        EngineCost cost = new EngineCost(
                prefillTokensPerSecond,
                stepMillis,
                stepPerSequenceMillis,
                standard.prefillChunkTokens(),
                maxSequences,
                standard.kvBytesPerToken(),
                standard.kvTotalBytes(),
                standard.kvTransferBytesPerSecond(),
                standard.roleChangeMillis(),
                standard.modelLoadMillis());
        for (String groupName : groups) {
            for (int i = 0; i < engines; i++) {
                fleet.addEngine(
                        groupName + "-" + (i + 1),
                        groupName,
                        groupName + "-model",
                        EngineRole.MIXED,
                        dataCentres[i % dataCentres.length],
                        StandInEngineOptions.STANDARD.withCost(cost));
            }
        }
    }
}
