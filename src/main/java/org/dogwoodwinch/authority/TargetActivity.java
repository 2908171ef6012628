package org.dogwoodwinch.authority;

/** What is in flight on a target by way of all instances. */
@FunctionalInterface
public interface TargetActivity {

    /**
     * Asks.
     *
     * @param target the target's name, not null
     * @return what is known
     */
    InFlight of(String target);

    /**
     * Requests in flight on a target.
     *
     * @param known whether every instance that may have sent work was heard of late; where not, the target counts as busy
     * @param urgent urgent requests
     * @param all all requests
     */
    record InFlight(boolean known, int urgent, int all) {}
}
