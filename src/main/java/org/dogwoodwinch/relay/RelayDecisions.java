package org.dogwoodwinch.relay;

import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.KvCacheIndex;
import org.dogwoodwinch.forwarding.LoadTracker;
import org.dogwoodwinch.forwarding.PrefillRates;
import org.dogwoodwinch.forwarding.RetryBudget;
import org.dogwoodwinch.forwarding.RetryPolicy;
import org.dogwoodwinch.forwarding.StreamStallCost;
import org.dogwoodwinch.forwarding.TargetChooser;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.forwarding.TargetPerformance;
import org.dogwoodwinch.forwarding.TargetRateLimits;
import org.dogwoodwinch.forwarding.TargetRests;
import org.dogwoodwinch.queueing.RoomEstimator;
import org.dogwoodwinch.request.Quarantine;

/**
 * The components that decide about calls.
 *
 * @param targets supplies the targets that are listed and not draining, evaluated on each use, not null
 * @param chooser chooses targets, not null
 * @param loads tracks the calls under way at targets, not null
 * @param cacheIndex prompt segments in the KV caches of engines, not null
 * @param prefillRates estimated prefill rates of engines, not null
 * @param performance what is known of targets that are slow or fail calls, not null
 * @param stallCost the cost of prefilling beside streams, updated by the streams relayed here, not null
 * @param retryPolicy chooses the next step after a failed send, not null
 * @param budget limits retries, not null
 * @param quarantine status of calls that crash targets, not null
 * @param segments holds back calls with prompt segments that crash targets, not null
 * @param health tracks targets that were recently unreachable, not null
 * @param limits rate limits of targets that state one, not null
 * @param rests the targets that asked this instance for a rest, not null
 * @param statedLimits receives the rate limits that targets state in responses, not null
 * @param statements receives what targets state about themselves in responses, not null
 * @param connectionAborts tracks targets that close new connections without a response, not null
 * @param callStarts receives calls that began to run, for the usage of their owners, not null
 * @param streamOrigins the software versions that began the streams of all instances, not null
 * @param entriesAge how old the entries of targets are, not null
 * @param room estimates whether targets can take a call, not null
 * @param sharingInstancesCount supplies the number of instances that share a target's connections, evaluated on
 *     each use, not null
 */
public record RelayDecisions(
        Supplier<List<Incarnation>> targets,
        TargetChooser chooser,
        LoadTracker loads,
        KvCacheIndex cacheIndex,
        PrefillRates prefillRates,
        TargetPerformance performance,
        StreamStallCost stallCost,
        RetryPolicy retryPolicy,
        RetryBudget budget,
        Quarantine quarantine,
        SegmentGuard segments,
        TargetHealth health,
        TargetRateLimits limits,
        TargetRests rests,
        StatedRateLimits statedLimits,
        TargetStatements statements,
        ConnectionAborts connectionAborts,
        CallStarts callStarts,
        StreamOrigins streamOrigins,
        TargetEntriesAge entriesAge,
        RoomEstimator room,
        IntSupplier sharingInstancesCount) {}
