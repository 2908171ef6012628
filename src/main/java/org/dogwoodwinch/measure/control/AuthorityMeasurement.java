package org.dogwoodwinch.measure.control;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.authority.AuthorityRecord;
import org.dogwoodwinch.authority.ClaimPriority;
import org.dogwoodwinch.authority.LeasePolicy;
import org.dogwoodwinch.control.ControlCodec;
import org.dogwoodwinch.measure.Measurement;
import org.dogwoodwinch.measure.MeasurementBound;
import org.dogwoodwinch.measure.MeasurementReport;
import org.dogwoodwinch.measure.MeasurementTable;

/** Measures what leases, orders and planned changes cost on the log, and how long a killed holder holds a change up. */
public final class AuthorityMeasurement implements Measurement {

    private static final long REST_MILLIS = 60_000;
    private static final long QUICK_REST_MILLIS = 10_000;
    private static final int TRIALS = 100;
    private static final int QUICK_TRIALS = 12;
    private static final int PLANS = 50;
    private static final long RECOVERY_BOUND_MILLIS = 15_000;
    private static final int LOG_APPENDS_PER_SECOND = 300;
    private static final int TARGET_INSTANCES = 480;
    private static final int TARGET_DATA_CENTRES = 13;
    private static final int TARGET_MODELS = 34;

    @Override
    public String name() {
        return "authority";
    }

    @Override
    public String description() {
        return "leases, orders and planned changes: appends at rest and under 50 changes, recovery after a kill";
    }

    @Override
    public MeasurementReport run(boolean quick) {
        PlanRun plans = new PlanRun();
        plans.request(PLANS - PLANS / 5, PLANS / 5);
        long tookMillis = plans.runToEnd();
        List<Long> recoveries = recoveriesMillis(quick ? QUICK_TRIALS : TRIALS);
        double perChange = plans.planAppends() / (double) PLANS;
        List<MeasurementTable> tables = List.of(
                atRest(quick ? QUICK_REST_MILLIS : REST_MILLIS),
                renewalSizes(),
                underPlans(plans, tookMillis, perChange),
                recovery(recoveries),
                watcher(plans.silencesMillis(), recoveries));
        long worstMillis = recoveries.get(recoveries.size() - 1);
        List<MeasurementBound> bounds = List.of(
                new MeasurementBound(
                        "a change is finished within 15 s more after its holder was killed",
                        worstMillis + " ms at worst",
                        worstMillis <= RECOVERY_BOUND_MILLIS),
                new MeasurementBound("at most 4 appends a change", format(perChange), perChange <= 4.0),
                new MeasurementBound(
                        "50 changes at once stay under a third of 300 appends a second",
                        plans.mostAppendsInASecond() + " in the busiest second",
                        plans.mostAppendsInASecond() <= LOG_APPENDS_PER_SECOND / 3));
        return new MeasurementReport(
                tables,
                bounds,
                String.format(
                        Locale.ROOT,
                        "recovery after a killed holder p50 %d ms p99 %d ms, %.2f appends a change, virtual time",
                        percentile(recoveries, 50),
                        percentile(recoveries, 99),
                        perChange));
    }

    private static MeasurementTable atRest(long restMillis) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(restRow("by data centre", 6, 3, 2, ClaimPriority::rank, restMillis));
        rows.add(restRow("by group", 6, 3, 2, AuthorityMeasurement::rankByGroup, restMillis));
        rows.add(restRow("by data centre", 24, 13, 10, ClaimPriority::rank, restMillis));
        rows.add(restRow("by group", 24, 13, 10, AuthorityMeasurement::rankByGroup, restMillis));
        return new MeasurementTable(
                "Leases at rest, virtual time over " + restMillis / 1_000 + " s; renewals every 2 s",
                List.of(
                        "claims",
                        "instances",
                        "data centres",
                        "groups",
                        "holders",
                        "appends a second",
                        "bytes a second"),
                rows);
    }

    private static List<String> restRow(
            String claims, int instances, int dataCentres, int groups, VirtualFleet.RankRule rule, long restMillis) {
        VirtualFleet fleet = new VirtualFleet(instances, dataCentres, groups, 1, rule);
        long beganMillis = fleet.time().monotonicMillis();
        fleet.time().advanceMillis(restMillis);
        List<CountingLog.Append> appends = fleet.log().since(beganMillis);
        double seconds = restMillis / 1_000.0;
        return List.of(
                claims,
                Integer.toString(instances),
                Integer.toString(dataCentres),
                Integer.toString(dataCentres * groups),
                Long.toString(fleet.holders()),
                format(appends.size() / seconds),
                format(appends.stream().mapToInt(CountingLog.Append::bytes).sum() / seconds));
    }

    /** The way that lost, and the way that is used, worked out for the target size from the number of holders. */
    private static MeasurementTable renewalSizes() {
        ControlCodec codec = new ControlCodec();
        List<List<String>> rows = new ArrayList<>();
        for (int groups : List.of(1, 34, 442)) {
            List<String> names = IntStream.range(0, groups)
                    .mapToObj(i -> "group-" + i % TARGET_MODELS + "@dc-" + i / TARGET_MODELS)
                    .toList();
            int own = codec.encode(new AuthorityRecord.LeaseRenewal("entry-17-1234567890abcdef", "entry-17-abcdef"))
                    .length();
            int naming = codec.encode(new AuthorityRecord.LeaseClaim(
                            "entry-17-1234567890abcdef", "entry-17-abcdef", "", -1, names))
                    .length();
            rows.add(List.of(Integer.toString(groups), Integer.toString(own), Integer.toString(naming)));
        }
        long byGroup = holdersAtTargetSize(AuthorityMeasurement::rankByGroup);
        long byDataCentre = holdersAtTargetSize(ClaimPriority::rank);
        double perHolder = 1_000.0 / LeasePolicy.DEFAULT.renewMillis();
        rows.add(List.of(
                "480 instances, by data centre", byDataCentre + " holders", format(byDataCentre * perHolder) + "/s"));
        rows.add(List.of("480 instances, by group", byGroup + " holders", format(byGroup * perHolder) + "/s"));
        return new MeasurementTable(
                "Bytes of a renewal by groups held; last rows: holders of 442 groups and their renewals a second, from"
                        + " the slope above",
                List.of("groups held", "renewal that names none", "renewal that names all"),
                rows);
    }

    private static long holdersAtTargetSize(VirtualFleet.RankRule rule) {
        List<ClaimPriority.Candidate> members = IntStream.range(0, TARGET_INSTANCES)
                .mapToObj(i -> new ClaimPriority.Candidate("entry-" + i, "dc-" + i % TARGET_DATA_CENTRES))
                .toList();
        Set<String> holders = IntStream.range(0, TARGET_MODELS * TARGET_DATA_CENTRES)
                .mapToObj(i -> "group-" + i % TARGET_MODELS + "@dc-" + i / TARGET_MODELS)
                .map(group -> members.stream()
                        .filter(member -> rule.rank(group, member, members) == 0)
                        .findFirst()
                        .orElseThrow()
                        .name())
                .collect(Collectors.toSet());
        return holders.size();
    }

    private static MeasurementTable underPlans(PlanRun plans, long tookMillis, double perChange) {
        return new MeasurementTable(
                "50 planned changes at once (40 roles, 10 model loads at 6 loads a minute), 6 instances, 12 groups, 60"
                        + " engines, virtual time",
                List.of("finished after ms", "appends a change", "most appends in a second"),
                List.of(List.of(
                        Long.toString(tookMillis), format(perChange), Long.toString(plans.mostAppendsInASecond()))));
    }

    private static List<Long> recoveriesMillis(int trials) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(4);
        PlanRun calm = new PlanRun();
        calm.request(1, 0);
        long calmMillis = calm.runToEnd();
        List<Long> result = new ArrayList<>();
        for (int i = 0; i < trials; i++) {
            PlanRun run = new PlanRun();
            run.request(1, 0);
            long killedAfterMillis = random.nextLong(calmMillis - 100);
            run.fleet().time().advanceMillis(killedAfterMillis);
            run.fleet()
                    .killHolder(run.fleet().groupOf(run.fleet().targets().get(0).name()));
            long leftMillis = run.runToEnd();
            result.add(Math.max(0, killedAfterMillis + leftMillis - calmMillis));
        }
        Collections.sort(result);
        return result;
    }

    private static MeasurementTable recovery(List<Long> recoveries) {
        return new MeasurementTable(
                "Time that a change took beyond its own after its holder was killed at a random moment, virtual time",
                List.of("trials", "p50 ms", "p99 ms", "worst ms"),
                List.of(List.of(
                        Integer.toString(recoveries.size()),
                        Long.toString(percentile(recoveries, 50)),
                        Long.toString(percentile(recoveries, 99)),
                        Long.toString(recoveries.get(recoveries.size() - 1)))));
    }

    /** What a watcher without leases would have done in the run of 50 changes, by how long each was silent on the log. */
    private static MeasurementTable watcher(List<Long> silences, List<Long> recoveries) {
        List<List<String>> rows = new ArrayList<>();
        for (long ageMillis : List.of(3_000L, 7_000L, 30_000L, 120_000L)) {
            long wrong =
                    silences.stream().filter(silence -> silence > ageMillis).count();
            rows.add(List.of(
                    "watcher, abandoned after " + ageMillis + " ms", "at least " + ageMillis, Long.toString(wrong)));
        }
        rows.add(List.of("leases and a successor", "p50 " + percentile(recoveries, 50) + " measured", "0"));
        return new MeasurementTable(
                "A watcher of abandoned transactions beside leases: changes taken over while their coordinator lived",
                List.of("way", "recovery ms", "wrongly taken over, of the 50 changes' steps"),
                rows);
    }

    private static int rankByGroup(String group, ClaimPriority.Candidate own, List<ClaimPriority.Candidate> members) {
        long weight = weight(group, own);
        return (int)
                members.stream().filter(other -> weight(group, other) > weight).count();
    }

    private static long weight(String group, ClaimPriority.Candidate member) {
        return Hashing.murmur3_128()
                .hashString(group + "/" + member.name(), StandardCharsets.UTF_8)
                .asLong();
    }

    private static long percentile(List<Long> sorted, int percent) {
        return sorted.get(Math.min(sorted.size() - 1, sorted.size() * percent / 100));
    }

    private static String format(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
