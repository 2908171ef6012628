package org.dogwoodwinch.measure.capacity;

import java.util.List;
import org.dogwoodwinch.standin.EngineCost;

/** What the KV caches of all prompts mean for where prefill and decode may sit: division alone, no run. */
public final class KvTrafficProbe implements CapacityProbe {

    private static final String ROLE = "KV transfer";
    private static final String BY_DIVISION = "6,100 GB/s by division";

    @Override
    public CapacityFinding measure(boolean _quick) {
        double linkBytesPerSecond = EngineCost.STANDARD.kvTransferBytesPerSecond();
        return new CapacityFinding(
                List.of(),
                List.of(
                        betweenDataCentres(),
                        perPrefillEngine("at a prefill share of 29%", TargetSize.PREFILL_SHARE, linkBytesPerSecond),
                        perPrefillEngine("at half that share, 14.5%", TargetSize.PREFILL_SHARE / 2, linkBytesPerSecond),
                        perDecodeEngine(linkBytesPerSecond),
                        perRequest(linkBytesPerSecond)));
    }

    private static CapacityRow betweenDataCentres() {
        double crossing = TargetSize.KV_BYTES_PER_SECOND * (TargetSize.DATA_CENTRES - 1) / TargetSize.DATA_CENTRES;
        return new CapacityRow(
                ROLE,
                "bytes/s between data centres if decode were placed at random",
                BY_DIVISION,
                Figures.bytes(crossing) + "/s",
                "none stated",
                CapacityVerdict.FIGURE,
                "prefill and decode of one request stay in one data centre: the router's duty");
    }

    private static CapacityRow perPrefillEngine(String when, double prefillShare, double linkBytesPerSecond) {
        double perEngine = TargetSize.KV_BYTES_PER_SECOND / (TargetSize.ENGINES * prefillShare);
        return new CapacityRow(
                ROLE,
                "bytes/s out of a prefill engine if every prompt moved, " + when,
                BY_DIVISION,
                Figures.bytes(perEngine) + "/s",
                Figures.bytes(linkBytesPerSecond) + "/s (stand-in's link)",
                CapacityVerdict.atMost(perEngine, linkBytesPerSecond),
                "mixed engines that compute and decode a prompt in place; only what is beyond them moves");
    }

    private static CapacityRow perDecodeEngine(double linkBytesPerSecond) {
        double perEngine = TargetSize.KV_BYTES_PER_SECOND / (TargetSize.ENGINES * (1 - TargetSize.PREFILL_SHARE));
        return new CapacityRow(
                ROLE,
                "bytes/s into a decode engine if every prompt moved",
                BY_DIVISION,
                Figures.bytes(perEngine) + "/s",
                Figures.bytes(linkBytesPerSecond) + "/s (stand-in's link)",
                CapacityVerdict.atMost(perEngine, linkBytesPerSecond),
                "engines move caches among themselves; no byte of them passes an instance of ours");
    }

    private static CapacityRow perRequest(double linkBytesPerSecond) {
        double perRequest = TargetSize.KV_BYTES_PER_SECOND / TargetSize.REQUESTS_PER_SECOND;
        double seconds = perRequest / linkBytesPerSecond;
        return new CapacityRow(
                ROLE,
                "seconds to move one mean prompt's cache (" + Figures.bytes(perRequest) + ")",
                BY_DIVISION,
                Figures.number(seconds) + " s",
                Figures.number(TargetSize.FIRST_TOKEN_SECONDS) + " s to the first token",
                CapacityVerdict.atMost(seconds, TargetSize.FIRST_TOKEN_SECONDS),
                "the router adds the transfer to the expected time to the first token");
    }
}
