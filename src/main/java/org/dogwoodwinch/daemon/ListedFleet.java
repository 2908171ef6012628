package org.dogwoodwinch.daemon;

import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.authority.ClaimPriority;
import org.dogwoodwinch.authority.FleetInventory;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.target.Target;

/** The fleet as the platform's instance list shows it, for leases and orders. Thread-safe. */
final class ListedFleet implements FleetInventory {

    private final TargetDirectory directory;
    private final ClaimPriority.Candidate own;
    private List<ListedInstance> lastLines = List.of();
    private List<Target> lastEngines = List.of();

    /**
     * Creates a view.
     *
     * @param directory reads the list, not null
     * @param own this instance, not null
     */
    ListedFleet(TargetDirectory directory, ClaimPriority.Candidate own) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.own = Objects.requireNonNull(own, "own");
    }

    /** Asked for many times a second; at the target size the list has some five thousand lines and changes seldom. */
    @Override
    public synchronized List<Target> engines() {
        List<ListedInstance> lines = directory.latest();
        if (!lines.equals(lastLines)) {
            lastLines = lines;
            lastEngines = lines.stream()
                    .filter(line -> line.kind() == ListedInstance.Kind.ENGINE)
                    .map(TargetDirectory::toTarget)
                    .toList();
        }
        return lastEngines;
    }

    @Override
    public int claimRank(String group) {
        List<ClaimPriority.Candidate> members = directory.latest().stream()
                .filter(line -> line.kind() == ListedInstance.Kind.ENTRY && !line.leaving())
                .map(line -> new ClaimPriority.Candidate(line.name(), line.dataCentre()))
                .toList();
        return ClaimPriority.rank(group, own, members);
    }
}
