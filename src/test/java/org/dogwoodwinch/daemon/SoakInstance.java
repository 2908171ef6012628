package org.dogwoodwinch.daemon;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.dogwoodwinch.forwarding.RouteMoves;
import org.dogwoodwinch.forwarding.RouteTable;
import org.dogwoodwinch.forwarding.ServiceRoute;
import org.dogwoodwinch.forwarding.SoftwareVersionHistory;
import org.dogwoodwinch.forwarding.StreamBegins;
import org.dogwoodwinch.forwarding.StreamId;
import org.dogwoodwinch.forwarding.StreamLifetime;
import org.dogwoodwinch.forwarding.StreamRecorders;
import org.dogwoodwinch.time.TimeSource;

/** An instance of a {@link SoakDay} with its view of the targets and what it knows of streams. */
final class SoakInstance {

    /** With the time by which views may differ, a stream lives for 8 s. */
    private static final long TIMEOUT_MILLIS = 5_000;

    /** The longest time-out under which a stream may have begun before an instance started. */
    private static final long MAX_TIMEOUT_MILLIS = 10_000;

    /** The age at which entries of targets are old for a drain time of 2 s. */
    private static final long OLD_VIEW_MILLIS = 1_800;

    private static final int MAX_VIEW_DELAY_MILLIS = 900;
    private static final long MAX_LATENESS_MILLIS = 2_900;
    private static final long RESTART_MILLIS = 1_200;

    /** The longest time in which an instance that resumes reads the changes that it has missed. */
    private static final int MAX_CATCH_UP_MILLIS = 400;

    final SimulatedFleet.Member member;
    StreamBeginSharing sharing;
    boolean isDisrupted;
    boolean isDown;
    long calmSinceMillis;
    long timeoutMillis;
    private final SoakDay day;
    private final long viewDelayMillis;
    private VersionHistorySharing versions;
    private StreamBegins begins;
    private StreamLifetime lifetime;
    private SoakProcessTime process;
    private long startedMillis;
    private boolean isCutFromStore;
    private long viewedMillis;
    private long readsOnMillis;
    private boolean mayBeVeryLate;
    private RouteTable table;

    SoakInstance(SoakDay day, SimulatedFleet.Member member) {
        this.day = day;
        this.member = member;
        this.viewDelayMillis = day.random.nextInt(MAX_VIEW_DELAY_MILLIS);
        this.viewedMillis = day.nowMillis() - viewDelayMillis;
        start();
    }

    private void start() {
        timeoutMillis = day.timeoutMillis;
        startedMillis = day.nowMillis();
        table = day.route.at(day.nowMillis() - viewDelayMillis);
        process = new SoakProcessTime(member);
        TimeSource time = day.playsMore() ? process : day.fleet.time;
        versions = new VersionHistorySharing(
                member.name,
                member.exchange,
                this::otherNames,
                this::versionsInView,
                new SoftwareVersionHistory(
                        this::lifetimeMillis, SoakDay.VIEW_DIFFERENCE_MILLIS, StreamComponents.REMOVED_SERVES_MILLIS),
                time);
        begins = new StreamBegins(this::lifetimeMillis);
        lifetime = new StreamLifetime(SoakDay.VIEW_DIFFERENCE_MILLIS);
        lifetime.recordTimeout(MAX_TIMEOUT_MILLIS, day.nowMillis());
        StreamBeginTelling telling = new StreamBeginTelling(
                member.name,
                member.exchange,
                this::otherNames,
                versions,
                begins,
                this::lifetimeMillis,
                (_outcome, _count) -> {},
                day.random.nextLong(),
                time);
        sharing = new StreamBeginSharing(
                member.name,
                member.exchange,
                versions,
                begins,
                telling,
                lifetime,
                () -> lateMillis() > OLD_VIEW_MILLIS,
                day.random.nextLong(),
                time);
        // The rounds of the simulated bus go on while a process is suspended.
        versions.start(() -> member.paused && day.playsMore() ? Set.of() : Set.copyOf(day.route.services));
        telling.start();
        sharing.start();
    }

    private long lifetimeMillis() {
        long nowMillis = day.nowMillis();
        lifetime.recordTimeout(day.plays(SoakDisturbance.CHANGED_TIMEOUTS) ? timeoutMillis : TIMEOUT_MILLIS, nowMillis);
        return lifetime.millis(nowMillis);
    }

    void recordBegin(SoakStream stream) {
        OptionalLong callerMillis = day.playsMore() ? OptionalLong.of(timeoutMillis) : OptionalLong.empty();
        sharing.recordBegin(stream.id, stream.version, callerMillis);
    }

    private long lateMillis() {
        return day.playsMore() ? day.nowMillis() - viewedMillis : viewDelayMillis;
    }

    private List<String> otherNames() {
        return day.fleet.members.stream()
                .filter(other -> other != member)
                .map(other -> other.name)
                .toList();
    }

    /** Reads the changes of the targets that have reached this instance. */
    void readOn() {
        if (member.paused || isCutFromStore) {
            return;
        }
        long nowMillis = day.nowMillis();
        boolean isLate = nowMillis < readsOnMillis && (mayBeVeryLate || nowMillis - viewedMillis < MAX_LATENESS_MILLIS);
        if (!isLate) {
            viewedMillis = Math.max(viewedMillis, nowMillis - viewDelayMillis);
            mayBeVeryLate = false;
        }
        day.route.next(table.version(), nowMillis - viewDelayMillis).ifPresent(this::configure);
    }

    private void configure(RouteTable next) {
        Set<String> moved = RouteMoves.servicesOfMovedStreams(table, next);
        table = next;
        if (!moved.isEmpty()) {
            versions.onRoutesMoved(moved, next.version());
        }
    }

    /** Returns the route of the streams as this instance knows it. */
    ServiceRoute route() {
        return SoakRoute.routeOf(table);
    }

    /** Lets the view stand still for a while. */
    void delayView(long millis) {
        readsOnMillis = Math.max(readsOnMillis, day.nowMillis() + millis);
    }

    private List<SoakTarget> view() {
        return day.listedAt(day.playsMore() ? viewedMillis : day.nowMillis() - viewDelayMillis);
    }

    private Set<String> versionsInView(String service) {
        return view().stream()
                .filter(each -> each.service.equals(service))
                .map(each -> each.version)
                .collect(Collectors.toSet());
    }

    /** Chooses a target of a service that this instance knows and that still serves. */
    Optional<SoakTarget> choose(String service, Optional<String> version) {
        List<SoakTarget> usable = view().stream()
                .filter(each -> each.service.equals(service))
                .filter(each -> each.isServingAt(day.nowMillis()))
                .filter(each -> version.isEmpty() || version.get().equals(each.version))
                .toList();
        return usable.isEmpty() ? Optional.empty() : Optional.of(usable.get(day.random.nextInt(usable.size())));
    }

    void kill() {
        isDisrupted = true;
        isDown = true;
        process.end();
        member.setIsolated(true);
        long downMillis =
                day.plays(SoakDisturbance.RESTARTS_OF_RANDOM_LENGTH) ? 400 + day.random.nextInt(5_600) : RESTART_MILLIS;
        day.fleet.time.schedule(downMillis, () -> {
            member.setIsolated(false);
            member.restart();
            readFirstView();
            start();
            isDown = false;
            calm();
        });
    }

    private void readFirstView() {
        isCutFromStore = false;
        readsOnMillis = day.nowMillis();
        viewedMillis = day.nowMillis() - viewDelayMillis;
        if (day.plays(SoakDisturbance.FIRST_VIEWS_FROM_NEIGHBOURS)) {
            day.anyOther(this).ifPresent(neighbour -> viewedMillis = neighbour.viewedMillis);
            delayView(day.random.nextInt((int) MAX_LATENESS_MILLIS));
        }
    }

    void freeze(long millis) {
        isDisrupted = true;
        member.setPaused(true);
        day.fleet.time.schedule(millis, () -> {
            if (day.playsMore()) {
                catchUp();
            }
            member.setPaused(false);
            calm();
        });
    }

    void cutOff(long millis) {
        isDisrupted = true;
        member.setIsolated(true);
        day.fleet.time.schedule(millis, () -> {
            member.setIsolated(false);
            calm();
        });
    }

    /** Cuts off this instance from the store too, so that its view stands still; then it joins again or is killed. */
    void cutOffFromAll(long millis) {
        isDisrupted = true;
        isCutFromStore = true;
        member.setIsolated(true);
        boolean joinsAgain = day.random.nextBoolean();
        day.fleet.time.schedule(millis, () -> {
            if (joinsAgain) {
                isCutFromStore = false;
                catchUp();
                member.setIsolated(false);
                calm();
            } else {
                kill();
            }
        });
    }

    private void catchUp() {
        mayBeVeryLate = true;
        delayView(day.random.nextInt(MAX_CATCH_UP_MILLIS));
    }

    private void calm() {
        isDisrupted = false;
        calmSinceMillis = day.nowMillis();
    }

    /** Returns whether this instance is in touch and can tell the version of a stream from a record. */
    boolean hasRecord(StreamId id) {
        return !isDisrupted
                && begins.find(id.owner(), id.requestId(), day.nowMillis()).isPresent();
    }

    /** Returns whether this instance is in touch and has run since before a stream began. */
    boolean hasRunSince(long millis) {
        return !isDisrupted && startedMillis < millis;
    }

    /** Returns the instances that are told of the begin of a stream. */
    List<String> toldOf(StreamId id) {
        List<String> names = day.fleet.members.stream().map(other -> other.name).toList();
        return versions.maybeSeveral(id.service()) ? StreamRecorders.toldOf(id, names, member.name) : List.of();
    }

    String describe(String service) {
        String state = (isCutFromStore ? " cut from the store" : "")
                + (member.dropsReceived ? " cut from the others" : "")
                + (isDown ? " down" : "")
                + (member.exchange.hearsOthers() ? "" : " hears nobody");
        long nowMillis = day.nowMillis();
        return member.name + state + " (view " + new TreeSet<>(versionsInView(service)) + " late by " + lateMillis()
                + " ms, observed " + versions.singleMillis(service) + " ms, up " + (nowMillis - startedMillis)
                + " ms, calm for " + (isDisrupted ? 0 : nowMillis - calmSinceMillis) + " ms, lifetime "
                + lifetimeMillis() + " ms)";
    }
}
