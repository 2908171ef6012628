package org.dogwoodwinch.authority;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.dogwoodwinch.target.EngineConfiguration;
import org.dogwoodwinch.target.EngineRole;
import org.junit.jupiter.api.Test;

class AuthorityStateTest {

    private static final String GROUP = "reading@kochi";
    private static final EngineConfiguration CONFIGURATION =
            new EngineConfiguration(EngineRole.PREFILL, "m", "1", new TreeSet<>());

    private final AuthorityState authority = new AuthorityState(AuthoritySnapshot.EMPTY);
    private long offset;

    /** Guards against a claim that takes a group although the holder's renewal precedes it in the log. */
    @Test
    void claimIsRejectedAfterInterveningRenewal() {
        applyAccepted(claim("c1", "a", "", -1));
        applyAccepted(new AuthorityRecord.LeaseRenewal("r1", "a"));
        applyRejected(claim("c2", "b", "a", 0));
        applyAccepted(claim("c3", "b", "a", 1));
        applyRejected(new AuthorityRecord.LeaseRenewal("r2", "a"));
        assertEquals("b", authority.leases().lease(GROUP).orElseThrow().holder());
    }

    /** Guards against a delayed duplicate of a release that releases a group claimed again by the same holder. */
    @Test
    void duplicateReleaseIsRejectedAfterNewClaim() {
        applyAccepted(claim("c1", "a", "", -1));
        AuthorityRecord release = new AuthorityRecord.LeaseRelease("x", "a", new TreeMap<>(Map.of(GROUP, 0L)));
        applyAccepted(release);
        applyAccepted(claim("c2", "a", "", -1));
        applyRejected(release);
    }

    /** Guards against an order whose intent reached the log after its holder had lost the group. */
    @Test
    void intentOfFormerHolderIsRejected() {
        applyAccepted(claim("c1", "a", "", -1));
        applyAccepted(claim("c2", "b", "a", 0));
        applyRejected(intent("i1", "a", 0, -1, -1));
        applyAccepted(intent("i2", "b", 1, -1, -1));
    }

    @Test
    void secondOpenOrderAndDuplicateIntentAreRejected() {
        applyAccepted(claim("c1", "a", "", -1));
        applyAccepted(intent("i1", "a", 0, -1, -1));
        applyRejected(intent("i2", "a", 0, 1, -1));
        applyAccepted(new AuthorityRecord.OrderSettled("s1", "a", 0, "engine-1", 1, true, ""));
        applyRejected(intent("i1", "a", 0, -1, -1));
        applyRejected(new AuthorityRecord.OrderSettled("s2", "a", 0, "engine-1", 1, false, ""));
        applyAccepted(intent("i3", "a", 0, 1, -1));
    }

    @Test
    void weightLoadSequenceIsAcceptedOnce() {
        applyAccepted(claim("c1", "a", "", -1));
        applyAccepted(intent("i1", "a", 0, -1, 0));
        applyAccepted(new AuthorityRecord.OrderSettled("s1", "a", 0, "engine-1", 1, true, ""));
        applyRejected(intent("i2", "a", 0, 1, 0));
        applyAccepted(intent("i3", "a", 0, 1, 1));
    }

    /** Guards against a duplicate request that runs again after its plan was removed to bound the size of the state. */
    @Test
    void duplicateRequestOfRemovedPlanIsRejected() {
        for (int i = 0; i < 300; i++) {
            applyAccepted(restore("p" + i, offset));
        }
        assertEquals(PlanTable.MAX_FINISHED, authority.plans().plans().size());
        assertEquals(Optional.empty(), authority.plans().plan("p0"));
        applyRejected(restore("p0", 0));
        applyAccepted(restore("p300", offset));
    }

    @Test
    void stateRestoredFromSnapshotAppliesRecordsIdentically() {
        applyAccepted(claim("c1", "a", "", -1));
        applyAccepted(intent("i1", "a", 0, -1, 0));
        AuthorityState copy = new AuthorityState(authority.snapshot());
        AuthorityRecord settled = new AuthorityRecord.OrderSettled("s1", "a", 0, "engine-1", 1, true, "");
        copy.apply(offset, settled);
        applyAccepted(settled);
        assertEquals(authority.snapshot(), copy.snapshot());
    }

    private static AuthorityRecord claim(String id, String holder, String previous, long renewal) {
        return new AuthorityRecord.LeaseClaim(id, holder, previous, renewal, List.of(GROUP));
    }

    private static AuthorityRecord intent(String id, String holder, long epoch, long previous, long load) {
        return new AuthorityRecord.OrderIntent(id, holder, GROUP, epoch, "engine-1", previous, load, "", CONFIGURATION);
    }

    private static AuthorityRecord restore(String id, long readUpTo) {
        PlannedChange change = PlannedChange.of(PlannedChange.Kind.RESTORE, "engine-1");
        return new AuthorityRecord.PlanRequested(id, "meera", 0, readUpTo, change);
    }

    private void applyAccepted(AuthorityRecord record) {
        assertEquals(Optional.empty(), authority.apply(offset++, record));
    }

    private void applyRejected(AuthorityRecord record) {
        assertTrue(authority.apply(offset, record).isPresent(), () -> "accepted: " + record);
    }
}
