package org.dogwoodwinch.daemon;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.dogwoodwinch.external.InstanceList;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the platform's instance list and retains the latest version.
 *
 * <p>While the service does not answer, the latest version remains in use: with an empty list the daemon would refuse
 * every request. Thread-safe.
 */
final class TargetDirectory {

    private static final Logger log = LoggerFactory.getLogger(TargetDirectory.class);

    private final InstanceList instanceList;
    private final TimeSource time;
    private final long pollIntervalMillis;
    private final List<Consumer<List<ListedInstance>>> listeners = new CopyOnWriteArrayList<>();
    private volatile List<ListedInstance> latestInstances = List.of();
    private volatile boolean listReceived;
    private volatile boolean stopped;
    private volatile Cancellable timer = () -> {};

    /**
     * Creates an empty directory. It reads nothing until {@link #start()} is called.
     *
     * @param instanceList the client of the platform's instance list, not null
     * @param time schedules the polls, not null
     * @param pollIntervalMillis the delay between the end of a poll and the next, in milliseconds
     */
    TargetDirectory(InstanceList instanceList, TimeSource time, long pollIntervalMillis) {
        this.instanceList = Objects.requireNonNull(instanceList, "instanceList");
        this.time = Objects.requireNonNull(time, "time");
        this.pollIntervalMillis = pollIntervalMillis;
    }

    /**
     * Adds a listener that is called with each list that is read, whether or not it differs from the previous one.
     *
     * @param listener receives the list, not null
     */
    void addListener(Consumer<List<ListedInstance>> listener) {
        listeners.add(listener);
    }

    /** Starts polling. */
    void start() {
        instanceList.read().whenComplete((list, _error) -> {
            if (stopped) {
                return;
            }
            if (list != null) {
                list.ifPresent(this::onInstanceList);
            }
            timer = time.schedule(pollIntervalMillis, this::start);
        });
    }

    /** Stops polling. */
    void stop() {
        stopped = true;
        timer.cancel();
    }

    /**
     * Returns whether the instance list has been read at least once.
     *
     * @return true after the first successful poll
     */
    boolean hasInstanceList() {
        return listReceived;
    }

    /**
     * Returns the latest version of the list.
     *
     * @return the listed instances; empty before the first successful poll
     */
    List<ListedInstance> latestInstances() {
        return latestInstances;
    }

    /**
     * Finds a target by name.
     *
     * @param name the target's name, not null
     * @return the target, or empty if none of that name is listed
     */
    Optional<Target> find(String name) {
        return latestInstances.stream()
                .filter(listed -> listed.name().equals(name) && listed.kind() != ListedInstance.Kind.ENTRY)
                .map(TargetDirectory::toTarget)
                .findFirst();
    }

    /**
     * Returns the number of daemon instances that are not about to be removed.
     *
     * @return the count, at least one, because this instance counts before the list contains it
     */
    int activeInstanceCount() {
        return (int) Math.max(
                1,
                latestInstances.stream()
                        .filter(listed -> listed.kind() == ListedInstance.Kind.ENTRY && !listed.leaving())
                        .count());
    }

    /**
     * Returns whether an instance is among the first daemon instances in the order of their names. Instances that are
     * about to be removed do not count.
     *
     * @param name the instance's name, not null
     * @param count the number of first instances
     * @return true if the instance is one of them
     */
    boolean isAmongFirstInstances(String name, int count) {
        return latestInstances.stream()
                .filter(listed -> listed.kind() == ListedInstance.Kind.ENTRY && !listed.leaving())
                .map(ListedInstance::name)
                .sorted()
                .limit(count)
                .anyMatch(name::equals);
    }

    /**
     * Returns the names of the other daemon instances, including those that are about to be removed.
     *
     * @param ownName this instance's name, not null
     * @return the names of the listed daemon instances without {@code ownName}
     */
    Set<String> otherInstanceNames(String ownName) {
        return latestInstances.stream()
                .filter(listed -> listed.kind() == ListedInstance.Kind.ENTRY)
                .map(ListedInstance::name)
                .filter(name -> !name.equals(ownName))
                .collect(Collectors.toSet());
    }

    /**
     * Converts an entry of the instance list to a target.
     *
     * @param listed the entry, not null
     * @return the target
     */
    static Target toTarget(ListedInstance listed) {
        return new Target(listed.name(), listed.host(), listed.port(), listed.dataCentre(), listed.group());
    }

    private void onInstanceList(List<ListedInstance> list) {
        if (!list.equals(latestInstances)) {
            LogEvent.of("instance_list_changed").with("lines", list.size()).info(log);
        }
        latestInstances = List.copyOf(list);
        listReceived = true;
        listeners.forEach(listener -> listener.accept(latestInstances));
    }
}
