package org.dogwoodwinch.measure.requests;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.dogwoodwinch.measure.Measurement;
import org.dogwoodwinch.measure.MeasurementBound;
import org.dogwoodwinch.measure.MeasurementReport;
import org.dogwoodwinch.measure.MeasurementTable;
import org.dogwoodwinch.request.RequestSettings;

/** The figures of a request's life: retries, requests that crash targets, claims, peer exchange. */
public final class RequestsMeasurement implements Measurement {

    private static final int[] CLAIM_RATES = {10, 100, 500, 2_000};
    private static final int TODAY_INSTANCES = 6;
    private static final double MAX_AMPLIFICATION = 1.12;
    private static final int MAX_CRASHES = 4;
    private static final double MAX_PEER_BYTES_PER_SECOND = 7_000;
    private static final double MAX_APPENDS_PER_SECOND = 300;

    private final List<MeasurementTable> tables = new ArrayList<>();
    private final List<MeasurementBound> bounds = new ArrayList<>();

    /** Creates the measurement. */
    public RequestsMeasurement() {}

    @Override
    public String name() {
        return "requests";
    }

    @Override
    public String description() {
        return "Retry amplification, engine crashes by one request, claims per append, peer traffic.";
    }

    @Override
    public synchronized MeasurementReport run(boolean quick) {
        tables.clear();
        bounds.clear();
        double amplification = measureRetries(quick ? 5_000 : 20_000);
        int crashes = measurePoison(quick ? 3 : 20);
        measureClaims(quick ? 5 : 30);
        measurePeers(quick ? 20 : 60);
        String headline = String.format(
                Locale.ROOT,
                "requests: amplification %.2f at total outage, at most %d engine crashes by one request sent 50 times",
                amplification,
                crashes);
        return new MeasurementReport(tables, bounds, headline);
    }

    private double measureRetries(int requests) {
        List<List<String>> rows = new ArrayList<>();
        double worst = 0;
        for (double share : new double[] {0.3, 1.0}) {
            RetryTrial.Found free = RetryTrial.run(RetryTrial.withoutBudget(), share, requests, 1);
            RetryTrial.Found ours = RetryTrial.run(RequestSettings.DEFAULT, share, requests, 1);
            rows.add(retryRow(share, "4 attempts, no budget", free));
            rows.add(retryRow(share, "budget of 0.1", ours));
            worst = Math.max(worst, ours.amplification());
        }
        tables.add(new MeasurementTable(
                "Retries, " + requests + " requests at 1,000 a second",
                List.of("targets fail", "policy", "attempts per request", "answered"),
                rows));
        bounds.add(new MeasurementBound(
                "attempts per request <= " + MAX_AMPLIFICATION, two(worst), worst <= MAX_AMPLIFICATION));
        return worst;
    }

    private static List<String> retryRow(double share, String policy, RetryTrial.Found found) {
        return List.of(percent(share), policy, two(found.amplification()), percent(found.answeredShare()));
    }

    private int measurePoison(int seeds) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(poisonRow("no quarantine", 1, false));
        int worst = 0;
        int falseOnes = 0;
        int missed = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            PoisonTrial.Found found = PoisonTrial.run(true, seed);
            worst = Math.max(worst, found.crashes());
            falseOnes += found.falseQuarantines();
            missed += found.missed() ? 1 : 0;
            if (seed == 1) {
                rows.add(poisonRow("suspects alone, quarantine", found));
            }
        }
        tables.add(new MeasurementTable(
                "One request that crashes engines, sent 50 times through 6 instances, 11 engines",
                List.of("policy", "engine crashes", "innocents answered", "innocents quarantined"),
                rows));
        tables.add(new MeasurementTable(
                "The same over " + seeds + " seeds",
                List.of("most crashes", "innocents quarantined", "runs without quarantine"),
                List.of(List.of(Integer.toString(worst), Integer.toString(falseOnes), Integer.toString(missed)))));
        bounds.add(new MeasurementBound(
                "engine crashes <= " + MAX_CRASHES, Integer.toString(worst), worst <= MAX_CRASHES));
        bounds.add(new MeasurementBound("innocents quarantined = 0", Integer.toString(falseOnes), falseOnes == 0));
        bounds.add(new MeasurementBound("quarantines missed = 0", Integer.toString(missed), missed == 0));
        return worst;
    }

    private static List<String> poisonRow(String policy, int seed, boolean guarded) {
        return poisonRow(policy, PoisonTrial.run(guarded, seed));
    }

    private static List<String> poisonRow(String policy, PoisonTrial.Found found) {
        return List.of(
                policy,
                Integer.toString(found.crashes()),
                found.innocentsAnswered() + " of " + found.innocents(),
                Integer.toString(found.falseQuarantines()));
    }

    private void measureClaims(int seconds) {
        List<List<String>> rows = new ArrayList<>();
        double most = 0;
        for (long windowMillis : new long[] {5, 25}) {
            for (int rate : CLAIM_RATES) {
                ClaimTrial.Found found = ClaimTrial.run(TODAY_INSTANCES, rate, windowMillis, seconds);
                rows.add(List.of(
                        Long.toString(windowMillis),
                        Integer.toString(rate),
                        two(found.appendsPerSecond()),
                        two(found.claimsPerAppend()),
                        two(found.bytesPerClaim()),
                        two(found.medianMillis()),
                        two(found.p99Millis()),
                        Integer.toString(found.refused())));
                if (windowMillis > 5) {
                    most = Math.max(most, found.appendsPerSecond());
                }
            }
        }
        tables.add(new MeasurementTable(
                "Claims with their outcomes, 6 instances, log answers in 5 ms",
                List.of(
                        "window (ms)",
                        "claims/s",
                        "appends/s",
                        "claims per append",
                        "bytes per claim",
                        "p50 (ms)",
                        "p99 (ms)",
                        "refused"),
                rows));
        bounds.add(new MeasurementBound(
                "appends/s at a window of 25 ms <= " + MAX_APPENDS_PER_SECOND,
                two(most),
                most <= MAX_APPENDS_PER_SECOND));
    }

    private void measurePeers(int seconds) {
        List<List<String>> rows = new ArrayList<>();
        double most = 0;
        int missed = 0;
        for (int members : new int[] {6, 24, 96}) {
            PeerTrial.Found found = PeerTrial.run(members, seconds, 1);
            most = Math.max(most, found.bytesPerSecond());
            missed += found.missed();
            rows.add(List.of(
                    Integer.toString(members),
                    two(found.bytesPerSecond()),
                    String.format(Locale.ROOT, "%.3f%%", 100 * found.cpuShare()),
                    Long.toString(found.medianMillis()),
                    Long.toString(found.lastMillis()),
                    Integer.toString(found.missed())));
        }
        tables.add(new MeasurementTable(
                "Peer exchange, load 300 B/s and demand 60 B/s published by each member",
                List.of(
                        "members",
                        "bytes/s a member, in and out",
                        "of a core",
                        "median to know (ms)",
                        "last to know (ms)",
                        "missed"),
                rows));
        bounds.add(new MeasurementBound(
                "peer bytes/s <= " + MAX_PEER_BYTES_PER_SECOND, two(most), most <= MAX_PEER_BYTES_PER_SECOND));
        bounds.add(
                new MeasurementBound("members that missed an urgent word = 0", Integer.toString(missed), missed == 0));
    }

    private static String two(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.1f%%", 100 * share);
    }
}
