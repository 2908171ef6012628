package org.dogwoodwinch.routing;

/** Tokens and requests by the time at which they were sent, in a ring of short buckets; old ones are forgotten. */
final class TokenRing {

    static final long BUCKET_MILLIS = 250;
    private static final int BUCKETS = 64;

    private final long[] bucketNumbers = new long[BUCKETS];
    private final long[] prefillTokens = new long[BUCKETS];
    private final long[] decodeTokens = new long[BUCKETS];
    private final int[] requests = new int[BUCKETS];

    void add(long atMillis, long prefill, long decode, int count) {
        long number = Math.floorDiv(atMillis, BUCKET_MILLIS);
        int index = (int) Math.floorMod(number, (long) BUCKETS);
        if (bucketNumbers[index] > number) {
            return;
        }
        if (bucketNumbers[index] < number) {
            bucketNumbers[index] = number;
            prefillTokens[index] = 0;
            decodeTokens[index] = 0;
            requests[index] = 0;
        }
        prefillTokens[index] += prefill;
        decodeTokens[index] += decode;
        requests[index] += count;
    }

    long prefillSince(long sinceMillis) {
        return sumSince(prefillTokens, sinceMillis);
    }

    long decodeSince(long sinceMillis) {
        return sumSince(decodeTokens, sinceMillis);
    }

    long requestsSince(long sinceMillis) {
        long first = Math.floorDiv(sinceMillis, BUCKET_MILLIS);
        long sum = 0;
        for (int i = 0; i < BUCKETS; i++) {
            if (bucketNumbers[i] > first) {
                sum += requests[i];
            }
        }
        return sum;
    }

    private long sumSince(long[] tokens, long sinceMillis) {
        long first = Math.floorDiv(sinceMillis, BUCKET_MILLIS);
        long sum = 0;
        for (int i = 0; i < BUCKETS; i++) {
            if (bucketNumbers[i] > first) {
                sum += tokens[i];
            }
        }
        return sum;
    }
}
