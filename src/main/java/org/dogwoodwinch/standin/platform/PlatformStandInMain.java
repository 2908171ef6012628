package org.dogwoodwinch.standin.platform;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Runs a small platform on loopback, for the demo and for trying things out. */
@Command(
        name = "platform-stand-in",
        mixinStandardHelpOptions = true,
        description = "Runs a store, five engines and two plain targets on free loopback ports. "
                + "Prints the store's address; a request's header x-fault names what its target does wrong.")
public final class PlatformStandInMain implements Callable<Integer> {

    private static final String FAULT_HEADER = "x-fault";

    /**
     * Runs until the process is ended.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(new PlatformStandInMain()).execute(args));
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        Transport transport = Transport.start(1);
        try (PlatformStandIn platform = new PlatformStandIn(
                transport, new EventLoopTime(transport.eventLoopGroup().next()), PlatformStandInMain::fault)) {
            System.out.println("{\"storeAddress\":\"" + platform.storeAddress() + "\"}");
            new CountDownLatch(1).await();
        }
        return 0;
    }

    /** What the header of a request asks its target to do wrong. */
    static TargetFault fault(StandInRequest request) {
        String wanted = request.header(FAULT_HEADER);
        for (TargetFault fault : TargetFault.values()) {
            if (fault.name().equalsIgnoreCase(wanted)) {
                return fault;
            }
        }
        return TargetFault.NONE;
    }
}
