package org.dogwoodwinch.standin.http;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.TreeSet;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.external.http.HttpWeightStore;
import org.dogwoodwinch.http.HttpListener;
import org.dogwoodwinch.standin.MemoryLog;
import org.dogwoodwinch.standin.MemoryLogLimits;
import org.dogwoodwinch.standin.StandInEngine;
import org.dogwoodwinch.standin.StandInEngineObserver;
import org.dogwoodwinch.standin.StandInEngineOptions;
import org.dogwoodwinch.target.EngineConfiguration;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.time.TimeSource;

/** A whole set of stand-ins on loopback: the log, the instance list, the weight store, engines and plain services. */
public final class StandInFleet {

    private static final String HOST = "127.0.0.1";
    private static final String MODEL_VERSION = "1";
    private static final int LOADS_PER_MINUTE = 6;

    private final EventLoopGroup group;
    private final TimeSource time;
    private final StandInEngineObserver observer;
    private final MemoryLog memoryLog;
    private final StandInInstanceList instanceList;
    private final List<HttpListener> listeners = new ArrayList<>();
    private final List<StandInEngine> engines = new ArrayList<>();
    private final List<PlainService> services = new ArrayList<>();
    private final StandInAddresses addresses;

    /**
     * Starts the platform's part.
     *
     * @param group runs the I/O, not null; its owner shuts it down after {@link #close()}
     * @param time gives the time, not null
     * @param listLagMillis how late the instance list shows changes, in milliseconds
     * @param observer hears what the engines really do, not null
     * @throws IOException if a port cannot be bound
     */
    public StandInFleet(EventLoopGroup group, TimeSource time, long listLagMillis, StandInEngineObserver observer)
            throws IOException {
        this.group = Objects.requireNonNull(group, "group");
        this.time = Objects.requireNonNull(time, "time");
        this.observer = Objects.requireNonNull(observer, "observer");
        this.memoryLog = new MemoryLog(time, MemoryLogLimits.STANDARD);
        this.instanceList = new StandInInstanceList(time, listLagMillis);
        this.addresses = new StandInAddresses(
                url(bind(new LogHttpService(memoryLog))),
                url(bind(new InstanceListService(instanceList))),
                url(bind((_call, reply) -> reply.json(new HttpWeightStore.Allowance(LOADS_PER_MINUTE)))));
    }

    /**
     * Adds an engine and lists it.
     *
     * @param name its name, not null
     * @param groupName its group, not null
     * @param model the model it runs, not null
     * @param role the role it starts in, not null
     * @param dataCentre where it stands, not null
     * @param options how it behaves, not null
     * @return the engine
     * @throws IOException if no port can be bound
     */
    public StandInEngine addEngine(
            String name,
            String groupName,
            String model,
            EngineRole role,
            String dataCentre,
            StandInEngineOptions options)
            throws IOException {
        EngineConfiguration configuration = new EngineConfiguration(role, model, MODEL_VERSION, new TreeSet<>());
        LateService late = new LateService();
        HttpListener listener = bind(late);
        String address = HOST + ":" + listener.port();
        StandInEngine engine = new StandInEngine(name, address, configuration, options, time, observer);
        late.become(new EngineService(engine, time));
        engines.add(engine);
        list(name, ListedInstance.Kind.ENGINE, listener.port(), dataCentre, groupName);
        return engine;
    }

    /**
     * Adds a plain service's target and lists it.
     *
     * @param name its name, not null
     * @param service the service's name, not null
     * @param dataCentre where it stands, not null
     * @throws IOException if no port can be bound
     */
    public void addService(String name, String service, String dataCentre) throws IOException {
        PlainService plain = new PlainService(name, observer);
        services.add(plain);
        list(name, ListedInstance.Kind.SERVICE, bind(plain).port(), dataCentre, service);
    }

    /**
     * Returns where the platform's part listens.
     *
     * @return the addresses
     */
    public StandInAddresses addresses() {
        return addresses;
    }

    /**
     * Returns the log.
     *
     * @return the log behind the HTTP service
     */
    public MemoryLog log() {
        return memoryLog;
    }

    /**
     * Returns the instance list.
     *
     * @return the list behind the HTTP service
     */
    public StandInInstanceList instanceList() {
        return instanceList;
    }

    /**
     * Returns how often the plain services ran, all together.
     *
     * @return the count
     */
    public long serviceRuns() {
        return services.stream().mapToLong(PlainService::runs).sum();
    }

    /**
     * Returns the engines.
     *
     * @return the engines in the order in which they were added
     */
    public List<StandInEngine> engines() {
        return List.copyOf(engines);
    }

    /** Stops listening and closes every connection. */
    public void close() {
        listeners.forEach(HttpListener::close);
    }

    private void list(String name, ListedInstance.Kind kind, int port, String dataCentre, String groupName) {
        instanceList.put(new ListedInstance(name, kind, HOST, port, 0, dataCentre, false, groupName));
    }

    private HttpListener bind(StandInService service) throws IOException {
        HttpListener listener = StandInServer.bind(group, 0, service);
        listeners.add(listener);
        return listener;
    }

    private static String url(HttpListener listener) {
        return "http://" + HOST + ":" + listener.port();
    }

    /** A service whose engine is made after its port is known, since the engine announces the port. */
    private static final class LateService implements StandInService {

        private volatile StandInService service = (_call, reply) -> reply.cut();

        void become(StandInService newService) {
            service = newService;
        }

        @Override
        public void handle(StandInCall call, StandInReply reply) {
            service.handle(call, reply);
        }
    }
}
