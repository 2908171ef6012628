package org.dogwoodwinch.daemon;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.authority.FleetView;
import org.dogwoodwinch.platform.ListedInstance;
import org.dogwoodwinch.target.Target;

/** The fleet as the platform's instance list shows it, for leases and orders. Thread-safe. */
final class ListedFleet implements FleetView {

    private final TargetDirectory directory;
    private final String instance;

    /**
     * Creates a view.
     *
     * @param directory reads the list, not null
     * @param instance this instance's name, not null
     */
    ListedFleet(TargetDirectory directory, String instance) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.instance = Objects.requireNonNull(instance, "instance");
    }

    @Override
    public List<Target> engines() {
        return directory.latest().stream()
                .filter(line -> line.kind() == ListedInstance.Kind.ENGINE)
                .map(TargetDirectory::toTarget)
                .toList();
    }

    /** Rendezvous hashing: each group has its own order of instances, and one that goes moves no other's place much. */
    @Override
    public int claimRank(String group) {
        long own = weight(group, instance);
        return (int) directory.latest().stream()
                .filter(line -> line.kind() == ListedInstance.Kind.ENTRY && !line.leaving())
                .filter(line -> !line.name().equals(instance))
                .filter(line -> weight(group, line.name()) > own)
                .count();
    }

    private static long weight(String group, String name) {
        return Hashing.murmur3_128()
                .hashString(group + "/" + name, StandardCharsets.UTF_8)
                .asLong();
    }
}
