package org.dogwoodwinch.roles;

/**
 * The load of a pool of equal engines, to which classes of work are added in order of urgency.
 *
 * <p>Each class gets the capacity that the classes before it leave. The utilization is limited, as queueing times
 * become excessive near full load.
 */
final class PoolLoad {

    private static final double MAX_UTILIZATION = 0.85;

    /**
     * The fraction of the prefill time that delays answers on mixed engines: routing packs long prompts onto few of
     * them.
     */
    private static final double PACKED_PREFILL_FRACTION = 0.5;

    private final EngineSpeed speed;
    private final int prefillEngines;
    private final int decodeEngines;
    private final boolean colocated;
    private double prefillUtilization;
    private double prefillWeightedTokens;
    private double decodeTokensPerMilli;

    private PoolLoad(EngineSpeed speed, int prefillEngines, int decodeEngines, boolean colocated) {
        this.speed = speed;
        this.prefillEngines = prefillEngines;
        this.decodeEngines = decodeEngines;
        this.colocated = colocated;
    }

    static PoolLoad mixed(EngineSpeed speed, int engines) {
        return new PoolLoad(speed, engines, engines, true);
    }

    static PoolLoad disaggregated(EngineSpeed speed, int prefillEngines, int decodeEngines) {
        return new PoolLoad(speed, prefillEngines, decodeEngines, false);
    }

    /** Adds a fraction of a class's demand and returns the part of it that fits, from zero to one. */
    double add(ClassDemand demand, double fraction) {
        if (fraction <= 0) {
            return 1;
        }
        if (prefillEngines == 0 || decodeEngines == 0) {
            return 0;
        }
        double requestsPerMilli = demand.requestsPerSecond() * fraction / 1_000;
        double addedPrefillUtilization =
                requestsPerMilli * demand.promptTokens() / speed.prefillTokensPerMilli() / prefillEngines;
        double addedTokensPerMilli = requestsPerMilli * demand.outputTokens() / decodeEngines;
        double admitted = Math.min(1, admittedFraction(addedPrefillUtilization, addedTokensPerMilli));
        prefillUtilization += addedPrefillUtilization * admitted;
        prefillWeightedTokens += addedPrefillUtilization * admitted * demand.promptTokens();
        decodeTokensPerMilli += addedTokensPerMilli * admitted;
        return admitted;
    }

    /** Returns the expected time from the start of a request to its last token, in milliseconds. */
    double responseMillis(ClassDemand demand) {
        double meanPromptTokens = prefillUtilization > 0 ? prefillWeightedTokens / prefillUtilization : 0;
        double queueMillis =
                prefillUtilization / (1 - prefillUtilization) * meanPromptTokens / speed.prefillTokensPerMilli() / 2;
        double prefillMillis = demand.promptTokens() / speed.prefillTokensPerMilli();
        double transferMillis = colocated ? 0 : demand.promptTokens() * speed.kvTransferMillisPerToken();
        return queueMillis / Math.max(1, Math.sqrt(prefillEngines))
                + prefillMillis
                + transferMillis
                + demand.outputTokens() * stepMillis();
    }

    private double admittedFraction(double addedPrefillUtilization, double addedTokensPerMilli) {
        double millisPerToken = speed.stepPerSequenceMillis() + speed.stepBaseMillis() / speed.maxSequences();
        double decodeUtilization = decodeTokensPerMilli * millisPerToken;
        double addedDecodeUtilization = addedTokensPerMilli * millisPerToken;
        if (colocated) {
            return fittingFraction(
                    MAX_UTILIZATION - prefillUtilization - decodeUtilization,
                    addedPrefillUtilization + addedDecodeUtilization);
        }
        return Math.min(
                fittingFraction(MAX_UTILIZATION - prefillUtilization, addedPrefillUtilization),
                fittingFraction(MAX_UTILIZATION - decodeUtilization, addedDecodeUtilization));
    }

    private static double fittingFraction(double available, double requested) {
        return requested <= 0 ? 1 : Math.max(0, available) / requested;
    }

    /**
     * Returns the duration of a decode step, which grows with the number of sequences and with prompts computed in the
     * same steps.
     */
    private double stepMillis() {
        double available = colocated ? 1 - PACKED_PREFILL_FRACTION * prefillUtilization : 1;
        double denominator = available - decodeTokensPerMilli * speed.stepPerSequenceMillis();
        double sequences = denominator <= 0
                ? speed.maxSequences()
                : Math.min(speed.maxSequences(), decodeTokensPerMilli * speed.stepBaseMillis() / denominator);
        return (speed.stepBaseMillis() + sequences * speed.stepPerSequenceMillis()) / available;
    }
}
