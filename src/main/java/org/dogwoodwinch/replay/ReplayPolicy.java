package org.dogwoodwinch.replay;

import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.roles.RolePlannerSettings;
import org.dogwoodwinch.routing.RoutingPolicy;

/**
 * One way to decide that a replay compares.
 *
 * @param name its name in tables, not null
 * @param routing how targets are chosen, not null
 * @param estimating the constants of our own router, for {@link Routing#ESTIMATING}, not null
 * @param admission whether requests are admitted by class and deadline; else each starts at once
 * @param roles how roles are planned, not null
 * @param price the price of a second away, for {@link Roles#PLANNED}
 */
public record ReplayPolicy(
        String name, Routing routing, RoutingPolicy estimating, boolean admission, Roles roles, double price) {

    private static final int BLOCK_CHARS = 4;

    /** How targets are chosen. */
    public enum Routing {
        /** By our own router. */
        ESTIMATING,
        /** One after another. */
        ROUND_ROBIN,
        /** The one with the fewest requests of this instance in flight. */
        LEAST_OUTSTANDING,
        /** The one with the least load in the last report. */
        LEAST_REPORTED
    }

    /** How roles are planned. */
    public enum Roles {
        /** All engines mixed, for good. */
        MIXED,
        /** A third of the engines prefill and the others decode, for good. */
        SPLIT,
        /** By our own planner. */
        PLANNED,
        /** By the present best alone, whatever a change costs. */
        GREEDY
    }

    /** Checks the parts. */
    public ReplayPolicy {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(routing, "routing");
        Objects.requireNonNull(roles, "roles");
        estimating = estimating.withPrefixBlockChars(BLOCK_CHARS);
    }

    /**
     * Returns our own way.
     *
     * @param price the price of a second away
     * @return the policy
     */
    public static ReplayPolicy ours(double price) {
        return new ReplayPolicy("ours", Routing.ESTIMATING, RoutingPolicy.STANDARD, true, Roles.PLANNED, price);
    }

    /**
     * Lists our own way and what it is compared with.
     *
     * @param price the price of a second away
     * @return the policies, ours first
     */
    public static List<ReplayPolicy> all(double price) {
        RoutingPolicy standard = RoutingPolicy.STANDARD;
        return List.of(
                ours(price),
                baseline("round-robin", Routing.ROUND_ROBIN),
                baseline("least-outstanding", Routing.LEAST_OUTSTANDING),
                baseline("least-reported", Routing.LEAST_REPORTED),
                new ReplayPolicy("static-split", Routing.ESTIMATING, standard, true, Roles.SPLIT, 0),
                new ReplayPolicy("greedy-roles", Routing.ESTIMATING, standard, true, Roles.GREEDY, 0),
                new ReplayPolicy("static-mixed (ours, no planner)", Routing.ESTIMATING, standard, true, Roles.MIXED, 0),
                new ReplayPolicy(
                        "v1 reports only", Routing.ESTIMATING, RoutingPolicy.REPORTS_ONLY, false, Roles.MIXED, 0),
                new ReplayPolicy(
                        "v2 own sends", Routing.ESTIMATING, RoutingPolicy.REPORTS_AND_OWN_SENDS, true, Roles.MIXED, 0));
    }

    /**
     * Returns the planner's settings.
     *
     * @return the settings at this policy's price
     */
    public RolePlannerSettings planSettings() {
        return RolePlannerSettings.withPrice(price);
    }

    private static ReplayPolicy baseline(String name, Routing routing) {
        return new ReplayPolicy(name, routing, RoutingPolicy.STANDARD, false, Roles.MIXED, 0);
    }
}
