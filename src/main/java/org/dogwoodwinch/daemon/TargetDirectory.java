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
 * Reads the platform's instance list again and again and keeps the last answer.
 *
 * <p>While the list does not answer, the last one stays: an empty fleet in its place would refuse every request.
 * Thread-safe.
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
     * Creates a directory.
     *
     * @param instanceList the platform's list, not null
     * @param time runs the readings, not null
     * @param pollIntervalMillis time between readings, in milliseconds
     */
    TargetDirectory(InstanceList instanceList, TimeSource time, long pollIntervalMillis) {
        this.instanceList = Objects.requireNonNull(instanceList, "instanceList");
        this.time = Objects.requireNonNull(time, "time");
        this.pollIntervalMillis = pollIntervalMillis;
    }

    /**
     * Calls back with each answer of the list.
     *
     * @param listener takes the list, not null
     */
    void addListener(Consumer<List<ListedInstance>> listener) {
        listeners.add(listener);
    }

    /** Begins to read. */
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

    /** Ends reading. */
    void stop() {
        stopped = true;
        timer.cancel();
    }

    /**
     * Says whether the list has answered at least once.
     *
     * @return true from the first answer on
     */
    boolean hasInstanceList() {
        return listReceived;
    }

    /**
     * Returns the last answer.
     *
     * @return the lines; empty before the first answer
     */
    List<ListedInstance> latestInstances() {
        return latestInstances;
    }

    /**
     * Finds a target.
     *
     * @param name its name, not null
     * @return the target, or empty where the list has none of that name
     */
    Optional<Target> find(String name) {
        return latestInstances.stream()
                .filter(listed -> listed.name().equals(name) && listed.kind() != ListedInstance.Kind.ENTRY)
                .map(TargetDirectory::toTarget)
                .findFirst();
    }

    /**
     * Counts the instances of our own that stay.
     *
     * @return the count, one or more: this instance counts itself before the list shows it
     */
    int activeInstanceCount() {
        return (int) Math.max(
                1,
                latestInstances.stream()
                        .filter(listed -> listed.kind() == ListedInstance.Kind.ENTRY && !listed.leaving())
                        .count());
    }

    /**
     * Says whether an instance is among the first of our own, in order of name.
     *
     * @param name its name, not null
     * @param count how many count as the first
     * @return true where it is
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
     * Names the other instances of our own, those that leave too.
     *
     * @param ownName this instance's name, not null
     * @return the names
     */
    Set<String> otherInstanceNames(String ownName) {
        return latestInstances.stream()
                .filter(listed -> listed.kind() == ListedInstance.Kind.ENTRY)
                .map(ListedInstance::name)
                .filter(name -> !name.equals(ownName))
                .collect(Collectors.toSet());
    }

    /**
     * Makes the target of a line.
     *
     * @param listed the line, not null
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
