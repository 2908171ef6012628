package org.dogwoodwinch.relay;

/** The calls that a connection has carried, whose answers may come a second time. */
final class CarriedCalls {

    private final RecentIds ids = new RecentIds();
    private final RecentIds idsWithoutBody = new RecentIds();
    private int count;

    /**
     * Adds a call that is about to be written.
     *
     * @param requestId the id of the call, not null
     * @param withoutBody whether its answer has no body whatever its headers state
     */
    void add(String requestId, boolean withoutBody) {
        count++;
        ids.add(requestId);
        if (withoutBody) {
            idsWithoutBody.add(requestId);
        }
    }

    int count() {
        return count;
    }

    /** Returns whether the connection has carried no other call, so that nothing of another answer can arrive. */
    boolean isFirst() {
        return count == 1;
    }

    boolean contains(String requestId) {
        return ids.contains(requestId);
    }

    boolean isWithoutBody(String requestId) {
        return idsWithoutBody.contains(requestId);
    }
}
