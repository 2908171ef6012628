package org.dogwoodwinch.roles;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.time.TimeSource;

/** Measures the demand for groups by class of work over the last minutes, in buckets of one second. Thread-safe. */
public final class DemandMeter implements DemandSource {

    private static final long BUCKET_MILLIS = 1_000;
    private static final int MAX_BUCKETS = 300;

    private final TimeSource time;
    private final Map<String, Deque<Bucket>> groups = new HashMap<>();

    /**
     * Creates an empty meter.
     *
     * @param time the clock, not null
     */
    public DemandMeter(TimeSource time) {
        this.time = Objects.requireNonNull(time, "time");
    }

    /**
     * Adds requests that arrived at this moment.
     *
     * @param group the group of the requests, not null
     * @param workClass the class of the requests, not null
     * @param requests the number of requests
     * @param promptTokens the sum of their prompt tokens
     * @param outputTokens the sum of their expected output tokens
     * @param deadlineMillis the sum of their deadlines, in milliseconds
     */
    public synchronized void recordArrivals(
            String group,
            WorkClass workClass,
            long requests,
            double promptTokens,
            double outputTokens,
            double deadlineMillis) {
        long bucketNumber = time.monotonicMillis() / BUCKET_MILLIS;
        Deque<Bucket> buckets = groups.computeIfAbsent(group, _group -> new ArrayDeque<>());
        if (buckets.isEmpty() || buckets.getLast().number != bucketNumber) {
            buckets.addLast(new Bucket(bucketNumber));
        }
        if (buckets.size() > MAX_BUCKETS) {
            buckets.removeFirst();
        }
        double[] sums = buckets.getLast().sums(workClass);
        sums[0] += requests;
        sums[1] += promptTokens;
        sums[2] += outputTokens;
        sums[3] += deadlineMillis;
    }

    @Override
    public synchronized List<ClassDemand> demand(String group, long horizonMillis) {
        long nowMillis = time.monotonicMillis();
        double seconds = Math.max(1, Math.min(horizonMillis, nowMillis) / 1_000.0);
        long firstBucket = (nowMillis - horizonMillis) / BUCKET_MILLIS;
        Bucket total = new Bucket(firstBucket);
        for (Bucket bucket : groups.getOrDefault(group, new ArrayDeque<>())) {
            if (bucket.number > firstBucket) {
                total.add(bucket);
            }
        }
        List<ClassDemand> demand = new ArrayList<>();
        for (WorkClass workClass : WorkClass.values()) {
            double[] sum = total.sums(workClass);
            if (sum[0] > 0) {
                demand.add(new ClassDemand(
                        workClass, sum[0] / seconds, sum[1] / sum[0], sum[2] / sum[0], sum[3] / sum[0]));
            }
        }
        return demand;
    }

    /** The sums of one second for each class: requests, prompt tokens, output tokens and deadlines, in this order. */
    private static final class Bucket {

        private static final int SUMS_PER_CLASS = 4;

        private final long number;
        private final Map<WorkClass, double[]> sums = new EnumMap<>(WorkClass.class);

        Bucket(long number) {
            this.number = number;
        }

        double[] sums(WorkClass workClass) {
            return sums.computeIfAbsent(workClass, _class -> new double[SUMS_PER_CLASS]);
        }

        void add(Bucket other) {
            other.sums.forEach((workClass, otherSums) -> {
                double[] ownSums = sums(workClass);
                for (int i = 0; i < SUMS_PER_CLASS; i++) {
                    ownSums[i] += otherSums[i];
                }
            });
        }
    }
}
