package org.dogwoodwinch.authority;

/** Provides the number of requests that all instances together have in flight on a target. */
@FunctionalInterface
public interface TargetActivity {

    /**
     * Returns the requests in flight on a target.
     *
     * @param target the target's name, not null
     * @return the requests in flight, as far as they are known
     */
    InFlight of(String target);

    /**
     * The requests in flight on a target.
     *
     * @param known whether every instance that may have sent requests has reported recently; if not, the target counts
     *     as busy
     * @param urgent the number of urgent requests
     * @param all the number of all requests, urgent ones included
     */
    record InFlight(boolean known, int urgent, int all) {}
}
