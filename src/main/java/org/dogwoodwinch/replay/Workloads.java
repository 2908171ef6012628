package org.dogwoodwinch.replay;

import java.util.List;
import org.dogwoodwinch.catalogue.WorkClass;

/** The kinds of requests of the users' deployments. */
final class Workloads {

    static final List<WorkloadPart> MALABAR = List.of(
            new WorkloadPart(
                    "censor-notes", "reading", WorkClass.LONG_READ, true, 2.0, 0.7, 0, 11_000, 350, 512, 600_000),
            new WorkloadPart("script-checks", "reading", WorkClass.STANDARD, false, 6, 3, 0, 3_000, 200, 512, 15_000),
            new WorkloadPart("reading-answers", "reading", WorkClass.URGENT, true, 4, 13, 0, 500, 420, 256, 14_000),
            new WorkloadPart("slot-confirmations", "booking", WorkClass.URGENT, true, 8, 8, 14, 500, 45, 256, 2_500),
            new WorkloadPart("playlists", "booking", WorkClass.STANDARD, true, 1, 4, 3, 1_200, 380, 512, 14_000));

    static final List<WorkloadPart> ALBUQUERQUE = List.of(
            new WorkloadPart(
                    "pipe-histories", "office", WorkClass.LONG_READ, true, 2.2, 0.7, 0, 12_000, 300, 512, 600_000),
            new WorkloadPart("meter-summaries", "office", WorkClass.STANDARD, true, 7, 4, 0, 2_000, 160, 512, 12_000),
            new WorkloadPart("work-orders", "office", WorkClass.URGENT, true, 4, 14, 0, 300, 380, 256, 12_500),
            new WorkloadPart(
                    "route-confirmations", "dispatch", WorkClass.URGENT, true, 10, 10, 18, 350, 40, 256, 2_500),
            new WorkloadPart("job-sheets", "dispatch", WorkClass.URGENT, true, 2, 6, 4, 700, 260, 256, 9_000));

    private Workloads() {}
}
