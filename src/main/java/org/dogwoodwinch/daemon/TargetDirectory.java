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

    private final InstanceList source;
    private final TimeSource time;
    private final long pollMillis;
    private final List<Consumer<List<ListedInstance>>> listeners = new CopyOnWriteArrayList<>();
    private volatile List<ListedInstance> latest = List.of();
    private volatile boolean answered;
    private volatile boolean stopped;
    private volatile Cancellable timer = () -> {};

    /**
     * Creates a directory.
     *
     * @param source the platform's list, not null
     * @param time runs the readings, not null
     * @param pollMillis time between readings, in milliseconds
     */
    TargetDirectory(InstanceList source, TimeSource time, long pollMillis) {
        this.source = Objects.requireNonNull(source, "source");
        this.time = Objects.requireNonNull(time, "time");
        this.pollMillis = pollMillis;
    }

    /**
     * Calls back with each answer of the list.
     *
     * @param listener takes the list, not null
     */
    void onRead(Consumer<List<ListedInstance>> listener) {
        listeners.add(listener);
    }

    /** Begins to read. */
    void start() {
        source.read().whenComplete((list, _error) -> {
            if (stopped) {
                return;
            }
            if (list != null) {
                list.ifPresent(this::take);
            }
            timer = time.schedule(pollMillis, this::start);
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
    boolean hasAnswered() {
        return answered;
    }

    /**
     * Returns the last answer.
     *
     * @return the lines; empty before the first answer
     */
    List<ListedInstance> latest() {
        return latest;
    }

    /**
     * Finds a target.
     *
     * @param name its name, not null
     * @return the target, or empty where the list has none of that name
     */
    Optional<Target> find(String name) {
        return latest.stream()
                .filter(line -> line.name().equals(name) && line.kind() != ListedInstance.Kind.ENTRY)
                .map(TargetDirectory::toTarget)
                .findFirst();
    }

    /**
     * Counts the instances of our own that stay.
     *
     * @return the count, one or more: this instance counts itself before the list shows it
     */
    int liveEntries() {
        return (int) Math.max(
                1,
                latest.stream()
                        .filter(line -> line.kind() == ListedInstance.Kind.ENTRY && !line.leaving())
                        .count());
    }

    /**
     * Says whether an instance is among the first of our own, in order of name.
     *
     * @param name its name, not null
     * @param count how many count as the first
     * @return true where it is
     */
    boolean isAmongFirstEntries(String name, int count) {
        return latest.stream()
                .filter(line -> line.kind() == ListedInstance.Kind.ENTRY && !line.leaving())
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
    Set<String> otherEntries(String ownName) {
        return latest.stream()
                .filter(line -> line.kind() == ListedInstance.Kind.ENTRY)
                .map(ListedInstance::name)
                .filter(name -> !name.equals(ownName))
                .collect(Collectors.toSet());
    }

    /**
     * Makes the target of a line.
     *
     * @param line the line, not null
     * @return the target
     */
    static Target toTarget(ListedInstance line) {
        return new Target(line.name(), line.host(), line.port(), line.dataCentre(), line.group());
    }

    private void take(List<ListedInstance> list) {
        if (!list.equals(latest)) {
            LogEvent.of("instance_list_changed").with("lines", list.size()).info(log);
        }
        latest = List.copyOf(list);
        answered = true;
        listeners.forEach(listener -> listener.accept(latest));
    }
}
