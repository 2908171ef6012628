import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Starts forwarding daemons with the command of the deploy file, on loopback, and ends them. */
final class Daemons implements AutoCloseable {

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern STARTED = Pattern.compile("event=started .*\\bport=(\\d+) readyPort=(\\d+)");
    private static final long START_MILLIS = 30_000;

    private final Path root;
    private final Path work;
    private final List<Daemon> started = new ArrayList<>();

    Daemons(Path root) throws IOException {
        this.root = root;
        this.work = Files.createTempDirectory("review");
        // Also where the script itself is ended.
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** One daemon, which may have several lives at the same addresses. */
    final class Daemon {
        final String name;
        private final Path settings;
        private Path log;
        private int lives;
        private Process process;
        int port;
        int readyPort;

        private Daemon(String name, Path settings) {
            this.name = name;
            this.settings = settings;
        }

        void start() throws IOException {
            log = work.resolve(name + "-" + ++lives + ".log");
            process = new ProcessBuilder(command(settings))
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile())
                    .start();
        }

        void awaitReady() throws IOException, InterruptedException {
            long until = System.nanoTime() + START_MILLIS * 1_000_000;
            while (System.nanoTime() < until) {
                Matcher found = STARTED.matcher(log());
                if (found.find()) {
                    port = Integer.parseInt(found.group(1));
                    readyPort = Integer.parseInt(found.group(2));
                    if (isReady()) {
                        return;
                    }
                }
                if (!process.isAlive()) {
                    break;
                }
                Thread.sleep(50);
            }
            throw new IOException(name + " did not become ready: " + log());
        }

        boolean isReady() {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), readyPort)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                return new String(socket.getInputStream().readNBytes(13), StandardCharsets.US_ASCII)
                        .startsWith("HTTP/1.1 200 ");
            } catch (IOException e) {
                return false;
            }
        }

        boolean isAlive() {
            return process.isAlive();
        }

        String log() throws IOException {
            return Files.readString(log, StandardCharsets.ISO_8859_1);
        }

        /** SIGKILL, as a loss of power. */
        void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
        }

        void awaitEnd(long millis) throws InterruptedException {
            process.waitFor(millis, java.util.concurrent.TimeUnit.MILLISECONDS);
        }

        /** SIGTERM. */
        void term() {
            process.destroy();
        }

        long pid() {
            return process.pid();
        }
    }

    /** Prepares a daemon: the template of the deploy file, filled in with the fields of DEPLOY.md. */
    Daemon daemon(String name, String zone, String storeAddress, String cloud) throws IOException {
        String host = "127.0.0.1";
        String filled = Files.readString(root.resolve("deploy/node.json.template"));
        filled = section(filled, "cloud.address", !cloud.isEmpty());
        filled = section(filled, "bounds.usageWindowS", true);
        filled = section(filled, "bounds.usageLateS", true);
        String[][] fields = {
            {"node", name},
            {"zone", zone},
            {"ip", host},
            {"limits.linkMbps", "1000.0"},
            {"listen.front", host + ":" + freePort()},
            {"listen.ready", host + ":" + freePort()},
            {"internalPorts.0", Integer.toString(freePort())},
            {"platform.address", storeAddress},
            {"bounds.drainMs", "2000"},
            {"bounds.configApplyMs", "2000"},
            {"bounds.leaseMs", "3000"},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.budgetWindowS", "10"},
            {"bounds.budgetSlack", "52"},
            {"bounds.graceS", "8"},
            {"bounds.usageWindowS", "5"},
            {"bounds.usageLateS", "10"},
            {"cloud.address", cloud},
            {"cloud.duties", "usage_report"},
        };
        for (String[] field : fields) {
            filled = filled.replace("{{" + field[0] + "}}", field[1]);
        }
        // On one loopback address, each daemon needs a port of its own for its metrics.
        filled = filled.replace(":9464", ":" + freePort());
        Path file = Files.writeString(work.resolve(name + ".json"), filled);
        Daemon daemon = new Daemon(name, file);
        started.add(daemon);
        return daemon;
    }

    private static String section(String text, String name, boolean present) {
        String open = "{{#" + name + "}}";
        String close = "{{/" + name + "}}";
        int from = text.indexOf(open);
        int to = text.indexOf(close);
        if (from < 0 || to < 0) {
            return text;
        }
        String inner = present ? text.substring(from + open.length(), to) : "";
        return text.substring(0, from) + inner + text.substring(to + close.length());
    }

    private List<String> command(Path settings) throws IOException {
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no run command in the deploy file");
        }
        return Stream.of(run.group(1).split(" "))
                .map(word -> word.equals("/etc/dogwoodwinch/node.json") ? settings.toString() : word)
                .toList();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @Override
    public void close() {
        for (Daemon daemon : started) {
            if (daemon.process != null && daemon.process.isAlive()) {
                daemon.process.destroyForcibly();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            return;
        }
        try (Stream<Path> files = Files.walk(work)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // It was removed before.
        }
    }
}
