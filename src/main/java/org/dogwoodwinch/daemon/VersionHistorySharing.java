package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.forwarding.SoftwareVersionHistory;
import org.dogwoodwinch.forwarding.SoftwareVersionHistory.SingleVersion;
import org.dogwoodwinch.forwarding.StreamRecorders;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.peer.RelayExchange;
import org.dogwoodwinch.time.TimeSource;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Observes the software versions of services, and continues the observations of instances that have run for longer.
 * Confined to one event loop.
 *
 * <p>Failure: the instances are restarted in turn, and after the last one nobody has observed a service for as long as
 * its streams live, so every stream that is taken up is refused. An instance that lacks the past of a service therefore
 * asks a few others, and what they have observed counts as its own from then on, also for those that ask it later.
 *
 * <p>Failure: an instance whose view is late takes the version before a release for the only one. What it hears of others
 * that see another version counts as a change.
 *
 * <p>Load: the questions of a fleet that has lost power as a whole, in which nobody knows more, become rarer and end
 * after the lifetime of a stream.
 */
final class VersionHistorySharing {

    private static final Logger log = LoggerFactory.getLogger(VersionHistorySharing.class);

    /** A few round trips; an instance that starts asks for the first time before it is ready for calls. */
    private static final long FIRST_PAUSE_MILLIS = 300;

    private static final long LONGEST_PAUSE_MILLIS = 5_000;

    /** A message that is on its way for longer is discarded. */
    private static final long MAX_TRANSIT_MILLIS = 1_000;

    private static final int STATEMENT_FIELDS = 3;

    private final String ownName;
    private final RelayExchange exchange;
    private final Supplier<List<String>> otherNames;
    private final Function<String, Set<String>> listedVersions;
    private final SoftwareVersionHistory history;
    private final TimeSource time;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private long nextQuestionMillis;

    /**
     * Creates an object that asks and answers nothing before {@link #start}.
     *
     * @param ownName the name of this instance, not null
     * @param exchange the bus between the instances, not null
     * @param otherNames supplies the names of the other instances, not null
     * @param listedVersions returns the software versions of a service's listed targets, not null
     * @param history the versions that services have had, not null
     * @param time the clock and timers, not null
     */
    VersionHistorySharing(
            String ownName,
            RelayExchange exchange,
            Supplier<List<String>> otherNames,
            Function<String, Set<String>> listedVersions,
            SoftwareVersionHistory history,
            TimeSource time) {
        this.ownName = Objects.requireNonNull(ownName, "ownName");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.otherNames = Objects.requireNonNull(otherNames, "otherNames");
        this.listedVersions = Objects.requireNonNull(listedVersions, "listedVersions");
        this.history = Objects.requireNonNull(history, "history");
        this.time = Objects.requireNonNull(time, "time");
    }

    /**
     * Starts to observe services, and to ask and answer.
     *
     * @param services supplies the services whose versions are observed, not null
     */
    void start(Supplier<Set<String>> services) {
        exchange.subscribe(PeerTopic.VERSIONS_QUESTION, this::onQuestion);
        exchange.subscribe(PeerTopic.VERSIONS_ANSWER, this::onAnswer);
        exchange.subscribe(PeerTopic.ROUTES_MOVED, this::onRoutesMoved);
        exchange.beforeEachRound(() -> {
            services.get().forEach(this::update);
            askForPast(services.get());
        });
    }

    /**
     * Updates the versions of a service.
     *
     * @param service the service, not null
     */
    void update(String service) {
        history.update(service, listedVersions.apply(service), time.monotonicMillis());
    }

    /** Begins all observations anew, because entries of targets may have come and gone unseen. */
    void beginAnew() {
        LogEvent.of("versions_observed_anew").info(log);
        history.beginAnew(time.monotonicMillis());
    }

    /**
     * Counts streams that began at other services as those of several versions, because a configuration has moved them.
     *
     * @param services the services to which their routes lead now, not null
     * @param configurationVersion the version of the configuration, for logs
     */
    void onRoutesMoved(Set<String> services, long configurationVersion) {
        LogEvent.of("stream_routes_moved")
                .with("services", services)
                .with("version", configurationVersion)
                .info(log);
        services.forEach(service -> {
            update(service);
            history.recordMove(service, time.monotonicMillis());
        });
    }

    /**
     * Returns whether other instances have to be told at which version a stream begins.
     *
     * @param service the service, not null
     * @return whether the service has several versions, or may have had them within the lifetime of a stream
     */
    boolean maybeSeveral(String service) {
        return history.maybeSeveral(service, time.monotonicMillis());
    }

    /**
     * Returns the version of a stream that no instance has recorded.
     *
     * @param service the service, not null
     * @return the only version that the service has had; empty if there were several, or if that is not known
     */
    Optional<String> onlyVersion(String service) {
        return history.onlyVersion(service, time.monotonicMillis());
    }

    /**
     * Returns for how long a service is known to have had no other version, for logs.
     *
     * @param service the service, not null
     * @return the time, in milliseconds; zero if the service has several versions or is not known
     */
    long singleMillis(String service) {
        return history.singleVersion(service, time.monotonicMillis())
                .map(SingleVersion::observedMillis)
                .orElse(0L);
    }

    /**
     * Tells another instance which versions this one sees, and for how long it has seen no other than a single one.
     *
     * @param name the other instance, not null
     * @param services the services, not null
     */
    void tell(String name, Collection<String> services) {
        services.forEach(this::update);
        List<Statement> statements =
                services.stream().flatMap(this::statementsOf).toList();
        if (!statements.isEmpty()) {
            Bytes payload = Packing.pack(
                    statements, (packer, all) -> Packing.writeAll(packer, all, VersionHistorySharing::writeStatement));
            exchange.sendDirectly(PeerTopic.VERSIONS_ANSWER, payload, List.of(name));
        }
        tellMoves(name, services);
    }

    /**
     * Tells another instance of routes that have moved.
     *
     * <p>Failure: an instance that has not read the newest configuration takes up a stream that began under it, and the answer
     * of the one that keeps its record is lost. The service that follows from the old weights has had one version for long,
     * and goes on with a stream of another service.
     */
    private void tellMoves(String name, Collection<String> services) {
        // A statement that arrives after the lifetime of a stream would count as news, and be passed to and fro.
        long arrivesMillis = time.monotonicMillis() + MAX_TRANSIT_MILLIS;
        Map<String, Long> movedAgoMillis = new TreeMap<>();
        services.forEach(service -> history.movedAgoMillis(service, arrivesMillis)
                .ifPresent(agoMillis -> movedAgoMillis.put(service, agoMillis - MAX_TRANSIT_MILLIS)));
        if (!movedAgoMillis.isEmpty()) {
            exchange.sendDirectly(
                    PeerTopic.ROUTES_MOVED, Packing.pack(movedAgoMillis, Packing::writeNumbers), List.of(name));
        }
    }

    private void onRoutesMoved(PeerUpdate update) {
        try {
            long nowMillis = time.monotonicMillis();
            Packing.unpack(update.payload().toByteArray(), Packing::readNumbers).forEach((service, agoMillis) -> {
                if (history.considerMove(service, nowMillis - Math.max(0, agoMillis), MAX_TRANSIT_MILLIS)) {
                    LogEvent.of("stream_routes_moved_heard")
                            .with("service", service)
                            .with("movedAgoMillis", agoMillis)
                            .with("peer", update.origin())
                            .info(log);
                }
            });
        } catch (IOException e) {
            logNotUnderstood(update, e);
        }
    }

    /** Returns one statement for each version; none of several versions vouches for a past. */
    private Stream<Statement> statementsOf(String service) {
        long singleMillis = singleMillis(service);
        return history.currentVersions(service).stream()
                .map(version -> new Statement(service, new SingleVersion(version, singleMillis)));
    }

    private void askForPast(Set<String> services) {
        long nowMillis = time.monotonicMillis();
        List<String> unknown = services.stream()
                .filter(service -> history.lacksPast(service, nowMillis))
                .toList();
        if (unknown.isEmpty()) {
            pauseMillis = FIRST_PAUSE_MILLIS;
            return;
        }
        List<String> asked = StreamRecorders.witnessesFor(ownName, otherNames.get());
        if (asked.isEmpty() || nowMillis < nextQuestionMillis) {
            return;
        }
        nextQuestionMillis = nowMillis + pauseMillis;
        pauseMillis = Math.min(2 * pauseMillis, LONGEST_PAUSE_MILLIS);
        Bytes payload =
                Packing.pack(unknown, (packer, names) -> Packing.writeAll(packer, names, MessagePacker::packString));
        exchange.sendDirectly(PeerTopic.VERSIONS_QUESTION, payload, asked);
    }

    private void onQuestion(PeerUpdate update) {
        try {
            tell(
                    update.origin(),
                    Packing.unpack(
                            update.payload().toByteArray(),
                            unpacker -> Packing.readAll(unpacker, MessageUnpacker::unpackString)));
        } catch (IOException e) {
            logNotUnderstood(update, e);
        }
    }

    private void onAnswer(PeerUpdate update) {
        try {
            Packing.unpack(
                            update.payload().toByteArray(),
                            unpacker -> Packing.readAll(unpacker, VersionHistorySharing::readStatement))
                    .forEach(statement -> considerStatement(update.origin(), statement));
        } catch (IOException e) {
            logNotUnderstood(update, e);
        }
    }

    private void considerStatement(String origin, Statement statement) {
        String service = statement.service();
        update(service);
        boolean lackedPast = history.lacksPast(service, time.monotonicMillis());
        boolean wasKnown = !maybeSeveral(service);
        history.considerStatement(service, statement.single(), time.monotonicMillis());
        if (lackedPast && !history.lacksPast(service, time.monotonicMillis())) {
            statementEvent("versions_known", origin, statement).info(log);
        } else if (wasKnown && maybeSeveral(service)) {
            statementEvent("versions_differ", origin, statement).info(log);
        }
    }

    private static LogEvent statementEvent(String event, String origin, Statement statement) {
        return LogEvent.of(event)
                .with("service", statement.service())
                .with("version", statement.single().softwareVersion())
                .with("observedMillis", statement.single().observedMillis())
                .with("peer", origin);
    }

    private static void writeStatement(MessagePacker packer, Statement statement) throws IOException {
        packer.packArrayHeader(STATEMENT_FIELDS);
        packer.packString(statement.service());
        packer.packString(statement.single().softwareVersion());
        packer.packLong(statement.single().observedMillis());
    }

    private static Statement readStatement(MessageUnpacker unpacker) throws IOException {
        Packing.expectFields(unpacker, STATEMENT_FIELDS);
        return new Statement(
                unpacker.unpackString(), new SingleVersion(unpacker.unpackString(), unpacker.unpackLong()));
    }

    private static void logNotUnderstood(PeerUpdate update, IOException error) {
        LogEvent.of("versions_not_understood")
                .with("peer", update.origin())
                .with("error", error.getMessage())
                .warn(log);
    }

    private record Statement(String service, SingleVersion single) {}
}
