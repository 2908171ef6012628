package org.dogwoodwinch.faultrun;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.standin.http.StandInAddresses;

/** One daemon of a run: its process, and the connections that can be cut between it and platform and peers. */
final class RunDaemon {

    private final DaemonProcess process;
    private final DaemonSettings settings;
    private final List<CuttableProxy> proxies;
    private final int listedPeersPort;

    /**
     * Prepares a daemon that does not run yet.
     *
     * @param name its instance name, not null
     * @param dataCentre its data centre, not null
     * @param homeIndex its place among the homes of owners' limits
     * @param homesCount how many homes there are
     * @param platform where the platform's stand-ins are, not null
     * @param directory takes its settings and output; holds the file {@code secret}, not null
     * @param group runs the connections, not null
     * @throws IOException if there is no free port or the settings cannot be written
     */
    RunDaemon(
            String name,
            String dataCentre,
            int homeIndex,
            int homesCount,
            StandInAddresses platform,
            Path directory,
            EventLoopGroup group)
            throws IOException {
        int peersPort = freePort();
        CuttableProxy log = proxy(group, platform.logUrl());
        CuttableProxy list = proxy(group, platform.instanceListUrl());
        CuttableProxy weights = proxy(group, platform.weightStoreUrl());
        CuttableProxy peers = new CuttableProxy(group, loopback(peersPort));
        this.proxies = List.of(log, list, weights, peers);
        this.listedPeersPort = peers.port();
        this.settings = new DaemonSettings(
                name,
                dataCentre,
                freePort(),
                freePort(),
                peersPort,
                log.port(),
                list.port(),
                weights.port(),
                directory.resolve("secret"),
                homeIndex,
                homesCount);
        Path file = directory.resolve(name + ".json");
        settings.write(file);
        this.process = new DaemonProcess(name, file, directory.resolve(name + ".log"));
    }

    String name() {
        return settings.name();
    }

    DaemonProcess process() {
        return process;
    }

    int callersPort() {
        return settings.callersPort();
    }

    int operatorsPort() {
        return settings.operatorsPort();
    }

    /** Its line in the platform's instance list; peers reach it by a connection that can be cut. */
    ListedInstance listed() {
        return new ListedInstance(
                name(),
                ListedInstance.Kind.ENTRY,
                "127.0.0.1",
                callersPort(),
                listedPeersPort,
                settings.dataCentre(),
                false,
                "");
    }

    /** Nothing passes between it and the platform, and nothing reaches it from peers. */
    void cutOff() {
        proxies.forEach(CuttableProxy::cut);
    }

    /** Everything passes again. */
    void join() {
        proxies.forEach(CuttableProxy::join);
    }

    /** Kills it, and closes what was opened for it. */
    void close() {
        process.kill();
        proxies.forEach(CuttableProxy::close);
    }

    private static CuttableProxy proxy(EventLoopGroup group, String url) {
        return new CuttableProxy(group, loopback(URI.create(url).getPort()));
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
