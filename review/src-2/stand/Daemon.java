package stand;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One machine of the system: the program of the deploy file, started with its command on loopback addresses. */
public final class Daemon {
    private static final List<Daemon> ALL = new ArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> ALL.forEach(Daemon::kill)));
    }

    private final String name;
    private final Path folder;
    private final Path settings;
    private final String ip;
    private final int front;
    private final int ready;
    private Process process;
    private int starts;

    public Daemon(Path folder, String name, String zone, Store store) throws IOException {
        this.name = name;
        this.folder = folder;
        this.settings = folder.resolve(name + ".json");
        synchronized (ALL) {
            ALL.add(this);
            // A loopback address of its own, so that cases that run at the same time do not meet.
            long pid = ProcessHandle.current().pid();
            ip = "127." + (1 + pid / 200 % 200) + "." + (1 + pid % 200) + "." + ALL.size();
        }
        List<Integer> ports = freePorts(4);
        front = ports.get(0);
        ready = ports.get(1);
        Files.writeString(settings, settings(zone, store, ports.get(2), ports.get(3)));
    }

    /** The template of the deploy file, filled in with the figures of the site gvn-boekingen. */
    private String settings(String zone, Store store, int metrics, int peers) {
        return """
                {
                  "instance": { "name": "%s", "dataCentre": "%s", "linkMbps": 1000.0 },
                  "forwarding": {
                    "listen": "%s:%d",
                    "readyListen": "%s:%d",
                    "metricsListen": "%s:%d",
                  },
                  "store": { "address": "%s" },
                  "peers": { "listen": "%s:%d" },
                  "promises": {
                    "drainMillis": 2000,
                    "configurationMillis": 2000,
                    "holdersApartMillis": 3000,
                  },
                  "retries": {
                    "ratio": 0.2,
                    "windowSeconds": 10,
                    "slackCount": 58,
                  },
                  "stop": { "graceSeconds": 8 },
                }
                """
                .formatted(name, zone, ip, front, ip, ready, ip, metrics, store.address(), ip, peers);
    }

    /** Returns so many free ports of this machine's address, each another one. */
    private List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getByName(ip)));
            }
            return sockets.stream().map(ServerSocket::getLocalPort).toList();
        } finally {
            for (ServerSocket each : sockets) {
                each.close();
            }
        }
    }

    public String name() {
        return name;
    }

    /** Returns where clients connect. */
    public InetSocketAddress front() {
        return new InetSocketAddress(ip, front);
    }

    /** Starts the process by the command of the deploy file. */
    public void start() throws IOException {
        List<String> command = new ArrayList<>(List.of(command().split(" ")));
        command.replaceAll(word -> word.equals("/etc/dogwoodwinch/node.json") ? settings.toString() : word);
        starts++;
        File log = folder.resolve(name + "." + starts + ".log").toFile();
        process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log).start();
    }

    private static String command() throws IOException {
        String entry = "";
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                entry = line;
            } else if (entry.equals("[roles.entry]") && line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.length() - 1);
            }
        }
        throw new IOException("no command in deploy/system.toml");
    }

    /** Waits until the process says that it is ready. */
    public void awaitReady() throws IOException {
        long until = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < until) {
            if (isReady()) {
                return;
            }
            Threads.pause(50);
        }
        List<String> lines = Files.readAllLines(folder.resolve(name + "." + starts + ".log"));
        lines.subList(Math.max(0, lines.size() - 5), lines.size()).forEach(System.err::println);
        throw new IOException(name + " did not become ready, runs: " + process.isAlive());
    }

    public boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, ready), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n".getBytes());
            Http.Message answer = Http.head(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Kills the process at once. */
    public void kill() {
        if (process != null && process.isAlive()) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
