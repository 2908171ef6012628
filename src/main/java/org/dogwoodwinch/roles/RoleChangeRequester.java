package org.dogwoodwinch.roles;

/** Takes proposals for role changes; it drains the engine and orders the change under the group's lease. */
@FunctionalInterface
public interface RoleChangeRequester {

    /**
     * Takes a proposal.
     *
     * @param change the proposal, not null
     * @return whether it will be carried out; false where the log is out or the lease is not held, and then nothing
     *     changes
     */
    boolean request(RoleChange change);
}
