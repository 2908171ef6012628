package org.dogwoodwinch.routing;

/**
 * Tokens and requests by the time at which they were sent, in a ring of short buckets; the oldest buckets are
 * overwritten.
 */
final class SendWindow {

    static final long BUCKET_MILLIS = 250;
    private static final int BUCKET_COUNT = 64;

    private final long[] bucketNumbers = new long[BUCKET_COUNT];
    private final long[] prefillTokens = new long[BUCKET_COUNT];
    private final long[] decodeTokens = new long[BUCKET_COUNT];
    private final int[] requests = new int[BUCKET_COUNT];

    void add(long atMillis, long newPrefillTokens, long newDecodeTokens, int newRequests) {
        long bucketNumber = Math.floorDiv(atMillis, BUCKET_MILLIS);
        int index = (int) Math.floorMod(bucketNumber, (long) BUCKET_COUNT);
        if (bucketNumbers[index] > bucketNumber) {
            return;
        }
        if (bucketNumbers[index] < bucketNumber) {
            bucketNumbers[index] = bucketNumber;
            prefillTokens[index] = 0;
            decodeTokens[index] = 0;
            requests[index] = 0;
        }
        prefillTokens[index] += newPrefillTokens;
        decodeTokens[index] += newDecodeTokens;
        requests[index] += newRequests;
    }

    long prefillSince(long sinceMillis) {
        return sumSince(prefillTokens, sinceMillis);
    }

    long decodeSince(long sinceMillis) {
        return sumSince(decodeTokens, sinceMillis);
    }

    long requestsSince(long sinceMillis) {
        long firstBucket = Math.floorDiv(sinceMillis, BUCKET_MILLIS);
        long sum = 0;
        for (int i = 0; i < BUCKET_COUNT; i++) {
            if (bucketNumbers[i] > firstBucket) {
                sum += requests[i];
            }
        }
        return sum;
    }

    private long sumSince(long[] tokens, long sinceMillis) {
        long firstBucket = Math.floorDiv(sinceMillis, BUCKET_MILLIS);
        long sum = 0;
        for (int i = 0; i < BUCKET_COUNT; i++) {
            if (bucketNumbers[i] > firstBucket) {
                sum += tokens[i];
            }
        }
        return sum;
    }
}
