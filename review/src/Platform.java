import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.standin.platform.StandInListener;
import org.dogwoodwinch.standin.platform.StoreStandIn;
import org.dogwoodwinch.standin.platform.TargetFault;
import org.dogwoodwinch.standin.platform.TargetStandIn;
import org.dogwoodwinch.standin.platform.TargetTraits;

/** A small platform of the project's own stand-ins, whose engines come and go by versions of their software. */
final class Platform {

    static final String HOST = "demo.example";
    static final String ENGINES = "taalbank";
    static final String PLAIN = "boekdesk";

    static final long STATUS_TIMEOUT_MILLIS = 600;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<Engine> engines = new ArrayList<>();
    private final Transport transport = Transport.start(1);
    private final EventLoopTime time =
            new EventLoopTime(transport.eventLoopGroup().next());
    private final StoreStandIn store = new StoreStandIn(time);
    private final StandInListener storeListener = StandInListener.bind(transport, store);

    Platform() throws IOException {}

    /** An engine that runs until the end of the script, listed or not. */
    final class Engine {
        final String id;
        final String version;
        final TargetStandIn target;
        private final StandInListener listener;
        private final TargetTraits traits;

        private Engine(String id, String version, TargetTraits traits) throws IOException {
            this.id = id;
            this.version = version;
            this.traits = traits;
            this.target = new TargetStandIn(id, traits, version, time, request -> TargetFault.NONE);
            this.listener = StandInListener.bind(transport, target);
        }

        /** Writes its entry, as it does at its start. */
        void list() throws Exception {
            ObjectNode entry = JSON.createObjectNode()
                    .put("service", traits.stage().isEmpty() ? PLAIN : ENGINES)
                    .put("address", listener.address())
                    .put("zone", "dc-1")
                    .put("version", version)
                    .put("slots", traits.slotsCount())
                    .put("state", "ready");
            if (!traits.stage().isEmpty()) {
                entry.put("stage", traits.stage());
            }
            put("keyed.servers", id, JSON.writeValueAsString(entry));
        }

        /** Its entry is removed, as it has left. */
        void unlist() throws Exception {
            put("keyed.servers", id, "");
        }
    }

    Engine engine(String id, String version, TargetTraits traits) throws IOException {
        Engine engine = new Engine(id, version, traits);
        engines.add(engine);
        return engine;
    }

    /** Returns what ran at each engine, for the record. */
    String runs() throws Exception {
        StringBuilder text = new StringBuilder();
        for (Engine engine : engines) {
            Map<String, Integer> runs = onLoop(engine.target::runs);
            text.append(engine.id).append(" (").append(engine.version).append("): ").append(runs.size());
            text.append(" requests ran, the most often ");
            text.append(runs.values().stream().max(Integer::compare).orElse(0)).append(" times; ");
        }
        return text.toString();
    }

    String storeAddress() {
        return storeListener.address();
    }

    /** Two routes, as the site file has them for contract-review and slot-status. */
    void configure() throws Exception {
        ObjectNode configuration = JSON.createObjectNode().put("version", 7);
        ArrayNode routes = configuration.putArray("routes");
        routes.addObject()
                .put("name", "r-review")
                .put("host", HOST)
                .put("pathPrefix", "/review/")
                .put("kind", "streaming")
                .put("timeoutMs", 5_000)
                .put("targetLatencyMs", 500)
                .put("priority", 1)
                .put("service", ENGINES)
                .put("maxAttempts", 2)
                .put("resumable", true)
                .put("sticky", true)
                .put("gapAimMs", 150);
        routes.addObject()
                .put("name", "r-status")
                .put("host", HOST)
                .put("pathPrefix", "/status/")
                .put("kind", "safe")
                .put("timeoutMs", STATUS_TIMEOUT_MILLIS)
                .put("targetLatencyMs", 100)
                .put("priority", 2)
                .put("service", PLAIN)
                .put("maxAttempts", 2);
        ArrayNode services = configuration.putArray("services");
        services.addObject().put("name", PLAIN).put("maxConnections", 110);
        ObjectNode engine = services
                .addObject()
                .put("name", ENGINES)
                .put("maxConnections", 210)
                .putObject("engine");
        engine.put("slots", 24).put("kvCapacity", 393_693).put("kvTokenBytes", 327_680);
        engine.put("linkMbps", 3_000_000.0).put("handleTtlS", 5.0).put("switchS", 3.0);
        configuration
                .putObject("limits")
                .put("maxHeaderBytes", 16_384)
                .put("maxBodyBytes", 4_194_304)
                .put("headerTimeoutMs", 3_000)
                .put("idleTimeoutMs", 15_000);
        put("keyed.op", "config", JSON.writeValueAsString(configuration));
    }

    private void put(String topic, String key, String value) throws Exception {
        onLoop(() -> store.put(topic, key, value));
    }

    private <T> T onLoop(Supplier<T> action) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        transport.eventLoopGroup().next().execute(() -> result.complete(action.get()));
        return result.get(5, TimeUnit.SECONDS);
    }
}
