package org.dogwoodwinch.measure.capacity;

/** The size that decides the design, and what follows from it by division alone. */
public final class TargetSize {

    /** Instances of ours. */
    public static final int NODES = 480;

    /** Engines. */
    public static final int ENGINES = 4_400;

    /** Requests a second at the peak. */
    public static final int REQUESTS_PER_SECOND = 52_000;

    /** Generated tokens a second at the peak. */
    public static final double TOKENS_PER_SECOND = 12e6;

    /** Workspaces, each an owner. */
    public static final int OWNERS = 1_900;

    /** Models in steady use. */
    public static final int MODELS = 34;

    /** Data centres. */
    public static final int DATA_CENTRES = 13;

    /** Engine groups: each model in each data centre. */
    public static final int GROUPS = MODELS * DATA_CENTRES;

    /** Lease renewals a second, rounded up: one holder for each data centre, each every 2 s; see {@link LeaseProbe}. */
    public static final int RENEWALS_PER_SECOND = (DATA_CENTRES + 1) / 2;

    /** Changes of configuration a day. */
    public static final int EDITS_PER_DAY = 2_400;

    /** An edit is in force everywhere within this, in seconds. */
    public static final int EDIT_SECONDS = 11;

    /** Instances restarted or replaced a day. */
    public static final int STARTS_PER_DAY = 720;

    /** KV cache of all prompts, in bytes a second. */
    public static final double KV_BYTES_PER_SECOND = 6_100e9;

    /** The part of the work that is prefill. */
    public static final double PREFILL_SHARE = 0.29;

    /** Most of a core that control may take on a node. */
    public static final double CONTROL_CPU_SHARE = 0.015;

    /** Most memory that control may take on a node, in bytes. */
    public static final long CONTROL_MEMORY_BYTES = 64L << 20;

    /** Most bytes a second that control may send and receive on a node. */
    public static final int CONTROL_BYTES_PER_SECOND = 7_000;

    /** What the log takes, a cautious reading of "several hundred" appends a second. */
    public static final int LOG_APPENDS_PER_SECOND = 400;

    /** Longest wait for the first token, in seconds. */
    public static final double FIRST_TOKEN_SECONDS = 1.4;

    /** Longest time between tokens, in seconds. */
    public static final double BETWEEN_TOKENS_SECONDS = 0.053;

    /** Seconds of a day. */
    public static final double SECONDS_PER_DAY = 86_400;

    private TargetSize() {}

    /**
     * Returns the requests that a node takes.
     *
     * @return requests a second
     */
    public static double requestsPerSecondPerNode() {
        return (double) REQUESTS_PER_SECOND / NODES;
    }

    /**
     * Returns the requests in flight on a node by Little's law, each as slow as the targets allow.
     *
     * @return requests
     */
    public static double inFlightPerNode() {
        double tokensPerRequest = TOKENS_PER_SECOND / REQUESTS_PER_SECOND;
        return requestsPerSecondPerNode() * (FIRST_TOKEN_SECONDS + tokensPerRequest * BETWEEN_TOKENS_SECONDS);
    }

    /**
     * Returns the nodes of one data centre.
     *
     * @return nodes, rounded up
     */
    public static int nodesPerDataCentre() {
        return (NODES + DATA_CENTRES - 1) / DATA_CENTRES;
    }
}
