package org.dogwoodwinch.daemon;

import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.authority.ClaimPriority;
import org.dogwoodwinch.authority.FleetInventory;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.target.Target;

/** Provides the engines and claim ranks that leases and orders use, from the platform's instance list. Thread-safe. */
final class InstanceListInventory implements FleetInventory {

    private final TargetDirectory directory;
    private final ClaimPriority.Candidate ownCandidate;
    private List<ListedInstance> lastInstances = List.of();
    private List<Target> lastEngines = List.of();

    /**
     * Creates an inventory.
     *
     * @param directory provides the latest instance list, not null
     * @param ownCandidate this instance as a candidate for claims, not null
     */
    InstanceListInventory(TargetDirectory directory, ClaimPriority.Candidate ownCandidate) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.ownCandidate = Objects.requireNonNull(ownCandidate, "ownCandidate");
    }

    /**
     * Returns the engines, converted again only if the list has changed. Load: this method is called many times per
     * second; at the target fleet size the list has about five thousand entries, and it seldom changes.
     */
    @Override
    public synchronized List<Target> engines() {
        List<ListedInstance> instances = directory.latestInstances();
        if (!instances.equals(lastInstances)) {
            lastInstances = instances;
            lastEngines = instances.stream()
                    .filter(listed -> listed.kind() == ListedInstance.Kind.ENGINE)
                    .map(TargetDirectory::toTarget)
                    .toList();
        }
        return lastEngines;
    }

    @Override
    public int claimRank(String group) {
        List<ClaimPriority.Candidate> candidates = directory.latestInstances().stream()
                .filter(listed -> listed.kind() == ListedInstance.Kind.ENTRY && !listed.leaving())
                .map(listed -> new ClaimPriority.Candidate(listed.name(), listed.dataCentre()))
                .toList();
        return ClaimPriority.rank(group, ownCandidate, candidates);
    }
}
