package org.dogwoodwinch.daemon;

import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.authority.ClaimOrder;
import org.dogwoodwinch.authority.FleetView;
import org.dogwoodwinch.platform.ListedInstance;
import org.dogwoodwinch.target.Target;

/** The fleet as the platform's instance list shows it, for leases and orders. Thread-safe. */
final class ListedFleet implements FleetView {

    private final TargetDirectory directory;
    private final ClaimOrder.Member own;

    /**
     * Creates a view.
     *
     * @param directory reads the list, not null
     * @param own this instance, not null
     */
    ListedFleet(TargetDirectory directory, ClaimOrder.Member own) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.own = Objects.requireNonNull(own, "own");
    }

    @Override
    public List<Target> engines() {
        return directory.latest().stream()
                .filter(line -> line.kind() == ListedInstance.Kind.ENGINE)
                .map(TargetDirectory::toTarget)
                .toList();
    }

    @Override
    public int claimRank(String group) {
        List<ClaimOrder.Member> members = directory.latest().stream()
                .filter(line -> line.kind() == ListedInstance.Kind.ENTRY && !line.leaving())
                .map(line -> new ClaimOrder.Member(line.name(), line.dataCentre()))
                .toList();
        return ClaimOrder.rank(group, own, members);
    }
}
