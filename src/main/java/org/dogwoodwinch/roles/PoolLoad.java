package org.dogwoodwinch.roles;

/**
 * The load of a pool of like engines, filled class by class in order of urgency.
 *
 * <p>A class gets what the ones before it leave; the pool is never filled beyond what queues bear.
 */
final class PoolLoad {

    private static final double FULL = 0.85;

    /** The part of the prompts' time that answers on mixed engines feel: routing keeps long prompts on few of them. */
    private static final double LANE_PART = 0.5;

    private final EngineSpeed speed;
    private final int prefillEngines;
    private final int decodeEngines;
    private final boolean shared;
    private double prefillShare;
    private double prefillSizeWeight;
    private double decodeTokensPerMilli;

    private PoolLoad(EngineSpeed speed, int prefillEngines, int decodeEngines, boolean shared) {
        this.speed = speed;
        this.prefillEngines = prefillEngines;
        this.decodeEngines = decodeEngines;
        this.shared = shared;
    }

    static PoolLoad mixed(EngineSpeed speed, int engines) {
        return new PoolLoad(speed, engines, engines, true);
    }

    static PoolLoad split(EngineSpeed speed, int prefillEngines, int decodeEngines) {
        return new PoolLoad(speed, prefillEngines, decodeEngines, false);
    }

    /** Adds a part of a class's demand; returns the part of it that fits, from zero to one. */
    double add(ClassDemand demand, double part) {
        if (part <= 0) {
            return 1;
        }
        if (prefillEngines == 0 || decodeEngines == 0) {
            return 0;
        }
        double perMilli = demand.requestsPerSecond() * part / 1_000;
        double prefill = perMilli * demand.promptTokens() / speed.prefillTokensPerMilli() / prefillEngines;
        double tokens = perMilli * demand.outputTokens() / decodeEngines;
        double fits = Math.min(1, fits(prefill, tokens));
        prefillShare += prefill * fits;
        prefillSizeWeight += prefill * fits * demand.promptTokens();
        decodeTokensPerMilli += tokens * fits;
        return fits;
    }

    /** Expected time of a request from start to last token, in milliseconds. */
    double answerMillis(ClassDemand demand) {
        double meanPrompt = prefillShare > 0 ? prefillSizeWeight / prefillShare : 0;
        double wait = prefillShare / (1 - prefillShare) * meanPrompt / speed.prefillTokensPerMilli() / 2;
        double prompt = demand.promptTokens() / speed.prefillTokensPerMilli();
        double transfer = shared ? 0 : demand.promptTokens() * speed.kvMillisPerToken();
        return wait / Math.max(1, Math.sqrt(prefillEngines)) + prompt + transfer + demand.outputTokens() * stepMillis();
    }

    private double fits(double prefill, double tokens) {
        double perToken = speed.stepPerSequenceMillis() + speed.stepBaseMillis() / speed.maxSequences();
        double decodeNow = decodeTokensPerMilli * perToken;
        double decodeMore = tokens * perToken;
        if (shared) {
            return room(FULL - prefillShare - decodeNow, prefill + decodeMore);
        }
        return Math.min(room(FULL - prefillShare, prefill), room(FULL - decodeNow, decodeMore));
    }

    private static double room(double left, double wanted) {
        return wanted <= 0 ? 1 : Math.max(0, left) / wanted;
    }

    /** A step takes longer with more sequences, and prompts in the same steps stretch it further. */
    private double stepMillis() {
        double available = shared ? 1 - LANE_PART * prefillShare : 1;
        double denominator = available - decodeTokensPerMilli * speed.stepPerSequenceMillis();
        double sequences = denominator <= 0
                ? speed.maxSequences()
                : Math.min(speed.maxSequences(), decodeTokensPerMilli * speed.stepBaseMillis() / denominator);
        return (speed.stepBaseMillis() + sequences * speed.stepPerSequenceMillis()) / available;
    }
}
