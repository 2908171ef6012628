package org.dogwoodwinch.replay;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.standin.EngineCost;

/**
 * An upper bound of what any policy could answer in time, knowing the whole trace.
 *
 * <p>Each request is charged the least work that it can cost: its prefix cached, its tokens made in full batches. All
 * engines of a group are one machine as fast as all together, that may interrupt work freely and never fails. Time is cut
 * into blocks; a block's requests are all there at its start and have that machine to themselves, and Moore and Hodgson's
 * rule gives the most that can meet their deadlines. Each of these steps only helps, so no policy can do better; the
 * least of the bounds for several block lengths holds. Long reads are counted whole where blocks are short.
 */
final class HindsightBound {

    private static final long[] BLOCKS_MILLIS = {5_000, 10_000, 20_000, 40_000};

    private final EngineCost cost;
    private final long endMillis;

    HindsightBound(EngineCost cost, long endMillis) {
        this.cost = cost;
        this.endMillis = endMillis;
    }

    int good(Trace trace) {
        int good = 0;
        for (TraceGroup group : trace.header().groups()) {
            List<TraceRequest> requests = trace.requests().stream()
                    .filter(request -> request.group().equals(group.name()))
                    .filter(this::possible)
                    .toList();
            good += good(requests, group.engines());
        }
        return good;
    }

    private int good(List<TraceRequest> requests, int engines) {
        int least = mooreHodgson(requests, 0, engines);
        List<TraceRequest> soon = requests.stream()
                .filter(request -> request.workClass() != WorkClass.LONG_READ)
                .toList();
        int longReads = requests.size() - soon.size();
        for (long blockMillis : BLOCKS_MILLIS) {
            int inBlocks = longReads;
            for (long startMillis = 0; startMillis < endMillis; startMillis += blockMillis) {
                long from = startMillis;
                List<TraceRequest> block = soon.stream()
                        .filter(request -> request.atMillis() >= from && request.atMillis() < from + blockMillis)
                        .toList();
                inBlocks += mooreHodgson(block, startMillis, engines);
            }
            least = Math.min(least, inBlocks);
        }
        return least;
    }

    /** In order of deadline; whenever the last one would be late, the longest so far is given up. */
    private int mooreHodgson(List<TraceRequest> requests, long startMillis, int engines) {
        List<TraceRequest> byDeadline = requests.stream()
                .sorted(Comparator.comparingLong(this::deadlineMillis))
                .toList();
        PriorityQueue<Double> kept = new PriorityQueue<>(Comparator.reverseOrder());
        double workMillis = 0;
        for (TraceRequest request : byDeadline) {
            double own = workMillis(request) / engines;
            kept.add(own);
            workMillis += own;
            if (startMillis + workMillis > deadlineMillis(request)) {
                workMillis -= kept.remove();
            }
        }
        return kept.size();
    }

    private long deadlineMillis(TraceRequest request) {
        return Math.min(endMillis, request.atMillis() + request.deadlineMillis());
    }

    private double workMillis(TraceRequest request) {
        double perToken = cost.stepPerSequenceMillis() + cost.stepBaseMillis() / cost.maxSequences();
        return prefillMillis(request) + request.outputTokens() * perToken;
    }

    private double prefillMillis(TraceRequest request) {
        return (request.promptTokens() - request.prefixTokens()) * 1_000.0 / cost.prefillTokensPerSecond();
    }

    private boolean possible(TraceRequest request) {
        double step = cost.stepBaseMillis() + cost.stepPerSequenceMillis();
        return prefillMillis(request) + request.outputTokens() * step <= request.deadlineMillis();
    }
}
