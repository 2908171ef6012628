package org.dogwoodwinch.measure.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.authority.ClaimPriority;
import org.dogwoodwinch.authority.EngineGroups;
import org.dogwoodwinch.authority.FleetInventory;
import org.dogwoodwinch.authority.TargetActivity;
import org.dogwoodwinch.control.ControlNode;
import org.dogwoodwinch.control.ControlPolicies;
import org.dogwoodwinch.control.ControlServices;
import org.dogwoodwinch.control.ControlSettings;
import org.dogwoodwinch.standin.MemoryLog;
import org.dogwoodwinch.standin.MemoryLogLimits;
import org.dogwoodwinch.standin.StandInEngine;
import org.dogwoodwinch.standin.StandInEngineObserver;
import org.dogwoodwinch.standin.StandInEngineOptions;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.EngineConfiguration;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.ServiceClient;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetClientFactory;
import org.dogwoodwinch.time.VirtualTimeSource;

/** Control nodes in virtual time before stand-in engines and a stand-in log. */
final class VirtualFleet {

    private static final int LOADS_PER_MINUTE = 6;

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final MemoryLog memory = new MemoryLog(time, MemoryLogLimits.STANDARD);
    private final CountingLog log = new CountingLog(memory, time);
    private final Map<String, StandInEngine> engines = new TreeMap<>();
    private final List<Target> targets = new ArrayList<>();
    private final List<ClaimPriority.Candidate> members = new ArrayList<>();
    private final List<ControlNode> nodes = new ArrayList<>();

    /**
     * Starts a fleet and lets it come to rest.
     *
     * @param instances how many instances
     * @param dataCentres how many data centres they stand in
     * @param groups how many groups of engines each data centre has
     * @param enginesPerGroup how many engines each group has
     * @param rule the order of claims, not null
     */
    VirtualFleet(int instances, int dataCentres, int groups, int enginesPerGroup, RankRule rule) {
        for (int i = 0; i < dataCentres * groups * enginesPerGroup; i++) {
            addEngine("dc" + i % dataCentres, "group" + i / dataCentres % groups, "engine-" + i);
        }
        for (int i = 0; i < instances; i++) {
            members.add(new ClaimPriority.Candidate("entry-" + i, "dc" + i % dataCentres));
        }
        members.forEach(member -> nodes.add(newNode(member, rule)));
        nodes.forEach(ControlNode::start);
        time.advanceMillis(10_000);
    }

    VirtualTimeSource time() {
        return time;
    }

    CountingLog log() {
        return log;
    }

    List<Target> targets() {
        return targets;
    }

    /** Any node that was not killed. */
    ControlNode node() {
        return nodes.get(0);
    }

    /** Kills the node that may act for a group: it decides nothing more and gives nothing back. */
    void killHolder(String group) {
        nodes.stream()
                .filter(each -> each.leasedGroups().contains(group))
                .findFirst()
                .ifPresent(holder -> {
                    holder.stop();
                    nodes.remove(holder);
                });
    }

    /** How many instances hold at least one group. */
    long holders() {
        return nodes.stream().filter(each -> !each.leasedGroups().isEmpty()).count();
    }

    /** The group of an engine. */
    String groupOf(String engine) {
        return targets.stream()
                .filter(target -> target.name().equals(engine))
                .map(EngineGroups::groupKey)
                .findFirst()
                .orElseThrow();
    }

    private void addEngine(String dataCentre, String group, String name) {
        EngineConfiguration first = new EngineConfiguration(EngineRole.MIXED, "model", "1", new TreeSet<>());
        engines.put(
                name,
                new StandInEngine(
                        name, "127.0.0.1:1", first, StandInEngineOptions.STANDARD, time, StandInEngineObserver.NONE));
        targets.add(new Target(name, "127.0.0.1", 1, dataCentre, group));
    }

    private ControlNode newNode(ClaimPriority.Candidate member, RankRule rule) {
        ControlServices services = new ControlServices(
                log,
                () -> CompletableFuture.completedFuture(LOADS_PER_MINUTE),
                new NoPeers(),
                () -> false,
                new Engines(),
                new Fleet(member, rule),
                _target -> new TargetActivity.RequestsInFlight(true, 0, 0));
        return new ControlNode(
                ControlSettings.of(member.name(), MemoryLogLimits.STANDARD.retentionMillis()),
                services,
                ControlPolicies.STANDARD,
                time,
                RandomSource.XO_RO_SHI_RO_128_PP.create(member.name().hashCode()));
    }

    /** An order of claims. */
    @FunctionalInterface
    interface RankRule {

        /**
         * Returns an instance's place.
         *
         * @param group the group, not null
         * @param own the instance, not null
         * @param members all instances, not null
         * @return how many come before it
         */
        int rank(String group, ClaimPriority.Candidate own, List<ClaimPriority.Candidate> members);
    }

    private final class Fleet implements FleetInventory {

        private final ClaimPriority.Candidate own;
        private final RankRule rule;

        Fleet(ClaimPriority.Candidate own, RankRule rule) {
            this.own = own;
            this.rule = rule;
        }

        @Override
        public List<Target> engines() {
            return targets;
        }

        @Override
        public int claimRank(String group) {
            return rule.rank(group, own, members);
        }
    }

    private final class Engines implements TargetClientFactory {

        @Override
        public EngineClient engineClient(Target target) {
            return engines.get(target.name());
        }

        @Override
        public ServiceClient serviceClient(Target target) {
            throw new IllegalStateException("no service " + target);
        }
    }
}
