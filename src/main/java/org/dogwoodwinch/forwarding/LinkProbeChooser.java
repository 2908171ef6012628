package org.dogwoodwinch.forwarding;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Chooses the other instances whose connections are compared with those of probed targets. */
public final class LinkProbeChooser {

    private static final int PROBED_INSTANCES = 2;

    private LinkProbeChooser() {}

    /**
     * Chooses random instances: one of the own data centre, whose round trip is short, and one of another data centre,
     * since the links of a whole data centre may be full. If one kind is missing, all are of the other kind.
     *
     * @param others the other instances, not null
     * @param ownDataCentre the data centre of this instance, not null
     * @param random the source of randomness, not null
     * @return at most two different instances; empty if there is no other one
     */
    public static List<Neighbour> choose(List<Neighbour> others, String ownDataCentre, UniformRandomProvider random) {
        List<Neighbour> remaining = new ArrayList<>(others);
        List<Neighbour> chosen = new ArrayList<>();
        boolean near = true;
        while (chosen.size() < PROBED_INSTANCES && !remaining.isEmpty()) {
            Neighbour next = next(remaining, ownDataCentre, near, random);
            chosen.add(next);
            remaining.remove(next);
            near = false;
        }
        return chosen;
    }

    private static Neighbour next(
            List<Neighbour> remaining, String ownDataCentre, boolean near, UniformRandomProvider random) {
        List<Neighbour> preferred = remaining.stream()
                .filter(each -> each.dataCentre().equals(ownDataCentre) == near)
                .toList();
        List<Neighbour> candidates = preferred.isEmpty() ? remaining : preferred;
        return candidates.get(random.nextInt(candidates.size()));
    }
}
