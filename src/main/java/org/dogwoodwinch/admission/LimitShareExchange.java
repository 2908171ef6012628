package org.dogwoodwinch.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.time.TimeSource;

/**
 * Shares the owners' limits among the instances by messages on the peer board.
 *
 * <p>Each unit of a limit is statically assigned to one instance, its home, so the instances need no agreement on the
 * assignment. Messages only lend units for a limited term from homes with little demand to instances with more demand.
 * An instance that receives no messages keeps its own home units, stops using borrowed units when their terms end, and
 * regains the units that it lent one safety margin after their terms.
 *
 * <p>A home loses its record of lent units when it restarts. It uses none of its home units until every other home has
 * published a message with the new incarnation, or until the maximum term and the margin have passed. Such a message
 * also lists the grants that its sender still holds from the previous incarnation, and its sender no longer accepts
 * grants of that incarnation.
 *
 * <p>Thread-safe: all methods hold this object's monitor.
 */
public final class LimitShareExchange {

    private static final String MESSAGE_KEY = "shares";
    private static final int MAX_LIMITS_PER_MESSAGE = 128;

    /** Number of publish intervals for which the board retains a message. */
    private static final int RETENTION_INTERVALS = 50;

    /** Time without use after which a borrowed grant is returned. */
    private static final long UNUSED_GRANT_MILLIS = 2_000;

    private static final long MIN_GRANT_CAP_UNITS = 4;

    /**
     * A grant covers at most the home units divided by this number, or {@link #MIN_GRANT_CAP_UNITS} if that is more.
     */
    private static final long GRANT_CAP_DIVISOR = 4;

    private final LimitShareSettings settings;
    private final PeerBus board;
    private final TimeSource time;
    private final long incarnation;
    private final GrantExpiryRule grantExpiryRule;
    private final long startMillis;
    private final Map<String, LimitAllocation> allocations = new TreeMap<>();
    private final Map<String, Long> totalUnitsByLimit = new HashMap<>();
    private final Map<Integer, Long> latestIncarnations = new HashMap<>();
    private final Map<Integer, Long> latestStampsMillis = new HashMap<>();
    private final Map<Integer, Boolean> acknowledgedHomes = new HashMap<>();
    private long homeUnitsUnusableUntilMillis;
    private long nextGrantId;

    /**
     * Creates an exchange, which is inactive until {@link #start()} is called.
     *
     * @param settings how the limits are shared, not null
     * @param board the board on which instances publish messages to each other, not null
     * @param time the clock, not null
     * @param incarnation a number that grows with each start of this instance, such as the wall-clock time of the start
     */
    public LimitShareExchange(LimitShareSettings settings, PeerBus board, TimeSource time, long incarnation) {
        this(settings, board, time, incarnation, GrantExpiryRule.FROM_BORROWER_STAMP, settings.restartWaitMillis());
    }

    LimitShareExchange(
            LimitShareSettings settings,
            PeerBus board,
            TimeSource time,
            long incarnation,
            GrantExpiryRule grantExpiryRule,
            long restartWaitMillis) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.board = Objects.requireNonNull(board, "board");
        this.time = Objects.requireNonNull(time, "time");
        this.incarnation = incarnation;
        this.grantExpiryRule = Objects.requireNonNull(grantExpiryRule, "grantExpiryRule");
        this.startMillis = time.monotonicMillis();
        this.homeUnitsUnusableUntilMillis = startMillis + (settings.homeCount() == 1 ? 0 : restartWaitMillis);
    }

    /** Subscribes to the messages of the peers and starts to publish messages periodically. */
    public synchronized void start() {
        board.subscribe(PeerTopic.DEMAND, this::onItem);
        publishAndRepeat();
    }

    /**
     * Returns the allocation of a limit, which is created if it does not exist.
     *
     * @param limitId the identifier of the limit, not null
     * @param totalUnits the limit over all instances
     * @return the allocation, to be used under this object's monitor
     */
    synchronized LimitAllocation allocation(String limitId, long totalUnits) {
        totalUnitsByLimit.put(limitId, totalUnits);
        LimitAllocation allocation =
                allocations.computeIfAbsent(limitId, id -> new LimitAllocation(id, settings.homeUnits(id, totalUnits)));
        allocation.setHomeUnits(settings.homeUnits(limitId, totalUnits), areHomeUnitsUsable());
        allocation.removeExpired(time.monotonicMillis());
        return allocation;
    }

    /** Returns unused borrowed units and publishes one message. */
    synchronized void publish() {
        long nowMillis = time.monotonicMillis();
        long unusedSinceMillis = nowMillis - UNUSED_GRANT_MILLIS;
        for (LimitAllocation allocation : allocations.values()) {
            allocation.removeExpired(nowMillis);
            allocation.returnUnusedSince(unusedSinceMillis, nowMillis + settings.maxTermMillis());
        }
        board.publish(
                PeerTopic.DEMAND,
                MESSAGE_KEY,
                LimitShareMessageCodec.encode(createMessage(nowMillis)),
                retentionMillis());
    }

    private void publishAndRepeat() {
        publish();
        time.schedule(settings.publishIntervalMillis(), this::publishAndRepeat);
    }

    private long retentionMillis() {
        return settings.publishIntervalMillis() * RETENTION_INTERVALS;
    }

    private LimitShareMessage createMessage(long nowMillis) {
        List<LimitShareMessage.BorrowRequest> borrowRequests = new ArrayList<>();
        List<LimitShareMessage.Grant> grants = new ArrayList<>();
        List<LimitShareMessage.HeldGrant> heldGrants = new ArrayList<>();
        allocationsToPublish().forEach(allocation -> {
            allocation.borrowRequest().ifPresent(borrowRequests::add);
            grants.addAll(allocation.grants());
            heldGrants.addAll(allocation.heldGrants());
        });
        return new LimitShareMessage(
                settings.homeIndex(),
                incarnation,
                nowMillis,
                latestIncarnationsByHome(),
                borrowRequests,
                grants,
                heldGrants);
    }

    /**
     * Returns the allocations to include in a message. Allocations with borrowed grants are never omitted, because a
     * home that restarts learns of its earlier grants only from these messages.
     */
    private Collection<LimitAllocation> allocationsToPublish() {
        List<LimitAllocation> selected = new ArrayList<>();
        for (LimitAllocation allocation : allocations.values()) {
            if (allocation.hasBorrowedGrants()
                    || (allocation.hasDemandOrGrants() && selected.size() < MAX_LIMITS_PER_MESSAGE)) {
                selected.add(allocation);
            }
        }
        return selected;
    }

    private List<Long> latestIncarnationsByHome() {
        List<Long> incarnations = new ArrayList<>();
        for (int i = 0; i < settings.homeCount(); i++) {
            incarnations.add(latestIncarnations.getOrDefault(i, 0L));
        }
        return incarnations;
    }

    private void onItem(PeerUpdate item) {
        if (item.key().equals(MESSAGE_KEY)) {
            LimitShareMessageCodec.decode(item.payload()).ifPresent(message -> onMessage(message, item.ageMillis()));
        }
    }

    /** Processes one message, and ignores it if it is not newer than the last one of its sender. */
    synchronized void onMessage(LimitShareMessage message, long ageMillis) {
        if (message.homeIndex() == settings.homeIndex()) {
            onMessageWithOwnIndex(message, ageMillis);
            return;
        }
        if (!acceptIfNewer(message)) {
            return;
        }
        message.holds().forEach(heldGrant -> onHeldGrant(message, heldGrant));
        recordAcknowledgement(message);
        message.grants().forEach(grant -> onGrant(message, grant));
        message.wants().forEach(borrowRequest -> onBorrowRequest(message, borrowRequest));
    }

    /**
     * Stops using the home units when another live instance publishes with this home index, because both would use the
     * same units. Each of the two resumes when it has received no message from the other for as long as a grant may
     * last, or when every other home has acknowledged its incarnation again. A message written before this instance
     * started comes from its previous incarnation and is ignored.
     */
    private void onMessageWithOwnIndex(LimitShareMessage message, long ageMillis) {
        long nowMillis = time.monotonicMillis();
        if (message.incarnation() != incarnation && nowMillis - ageMillis > startMillis) {
            homeUnitsUnusableUntilMillis = nowMillis + settings.restartWaitMillis();
            acknowledgedHomes.clear();
        }
    }

    private boolean acceptIfNewer(LimitShareMessage message) {
        int index = message.homeIndex();
        long latestIncarnation = latestIncarnations.getOrDefault(index, 0L);
        if (index < 0 || index >= settings.homeCount() || message.incarnation() < latestIncarnation) {
            return false;
        }
        if (message.incarnation() > latestIncarnation) {
            latestIncarnations.put(index, message.incarnation());
            latestStampsMillis.remove(index);
        }
        Long latestStampMillis = latestStampsMillis.get(index);
        if (latestStampMillis != null && message.stampMillis() <= latestStampMillis) {
            return false;
        }
        latestStampsMillis.put(index, message.stampMillis());
        return true;
    }

    private void recordAcknowledgement(LimitShareMessage message) {
        int index = settings.homeIndex();
        if (index < message.lives().size() && message.lives().get(index) == incarnation) {
            acknowledgedHomes.put(message.homeIndex(), Boolean.TRUE);
        }
    }

    private boolean areHomeUnitsUsable() {
        return acknowledgedHomes.size() == settings.homeCount() - 1
                || time.monotonicMillis() >= homeUnitsUnusableUntilMillis;
    }

    private void onHeldGrant(LimitShareMessage message, LimitShareMessage.HeldGrant heldGrant) {
        if (heldGrant.lenderIndex() != settings.homeIndex()) {
            return;
        }
        LimitAllocation allocation = allocations.computeIfAbsent(heldGrant.limitId(), id -> new LimitAllocation(id, 0));
        LimitAllocation.GrantKey key = new LimitAllocation.GrantKey(
                heldGrant.lenderIndex(), heldGrant.lenderIncarnation(), heldGrant.grantId());
        long nowMillis = time.monotonicMillis();
        if (heldGrant.state() == LimitShareMessage.HeldGrantState.RETURNED) {
            allocation.reclaim(key);
        } else if (heldGrant.lenderIncarnation() == incarnation) {
            allocation.renew(key, message.stampMillis(), nowMillis, settings.clockDriftMarginMillis());
        } else {
            allocation.recordPreviousLoan(key, heldGrant.units(), nowMillis + settings.restartWaitMillis());
        }
    }

    private void onGrant(LimitShareMessage message, LimitShareMessage.Grant grant) {
        if (grant.toIndex() != settings.homeIndex() || grant.toIncarnation() != incarnation) {
            return;
        }
        long nowMillis = time.monotonicMillis();
        long termMillis = Math.min(grant.termMillis(), settings.maxTermMillis());
        LimitAllocation.GrantKey key =
                new LimitAllocation.GrantKey(message.homeIndex(), message.incarnation(), grant.grantId());
        allocations
                .computeIfAbsent(grant.limitId(), id -> new LimitAllocation(id, 0))
                .borrow(
                        key,
                        grant.units(),
                        grantExpiryRule.expiryMillis(grant.echoStampMillis(), nowMillis, termMillis),
                        nowMillis);
    }

    private void onBorrowRequest(LimitShareMessage message, LimitShareMessage.BorrowRequest borrowRequest) {
        Long totalUnits = totalUnitsByLimit.get(borrowRequest.limitId());
        if (totalUnits == null) {
            return;
        }
        long nowMillis = time.monotonicMillis();
        LimitAllocation allocation = allocation(borrowRequest.limitId(), totalUnits);
        allocation.returnUnusedTo(message.homeIndex(), nowMillis + settings.maxTermMillis());
        long termMillis = Math.max(1, Math.min(borrowRequest.termMillis(), settings.maxTermMillis()));
        long homeUnits = settings.homeUnits(borrowRequest.limitId(), totalUnits);
        long maxGrantUnits = Math.max(MIN_GRANT_CAP_UNITS, homeUnits / GRANT_CAP_DIVISOR);
        long otherHomes = Math.max(1, settings.homeCount() - 1);
        long units = Math.min(maxGrantUnits, (borrowRequest.units() + otherHomes - 1) / otherHomes);
        LimitAllocation.GrantKey key = new LimitAllocation.GrantKey(settings.homeIndex(), incarnation, nextGrantId++);
        allocation.lend(
                key,
                new LimitAllocation.LoanTerms(
                        message.homeIndex(),
                        message.incarnation(),
                        units,
                        message.stampMillis(),
                        termMillis,
                        nowMillis + termMillis + settings.clockDriftMarginMillis()));
    }
}
