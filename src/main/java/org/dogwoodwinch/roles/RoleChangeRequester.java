package org.dogwoodwinch.roles;

/** Receives proposals for role changes, drains the engine and orders the change under the group's lease. */
@FunctionalInterface
public interface RoleChangeRequester {

    /**
     * Requests a role change.
     *
     * @param change the proposal, not null
     * @return whether the change will be carried out; false if the control log is unavailable or the lease is not held,
     *     and then nothing changes
     */
    boolean request(RoleChange change);
}
