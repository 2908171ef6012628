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
    RequestsInFlight requestsInFlight(String target);

    /**
     * The requests in flight on a target.
     *
     * @param complete whether every instance that may have sent requests has reported recently; if not, the target counts
     *     as busy
     * @param urgentCount the number of urgent requests
     * @param totalCount the number of all requests, urgent ones included
     */
    record RequestsInFlight(boolean complete, int urgentCount, int totalCount) {}
}
