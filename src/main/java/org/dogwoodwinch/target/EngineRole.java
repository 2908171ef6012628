package org.dogwoodwinch.target;

/** The phases of generation that an engine serves. */
public enum EngineRole {
    /** Computes the KV cache of prompts and exports it. */
    PREFILL,
    /** Imports KV caches and generates tokens. */
    DECODE,
    /** Does both. */
    MIXED;

    /**
     * Says whether an engine of this role computes prompts.
     *
     * @return true unless the role is {@link #DECODE}
     */
    public boolean servesPrefill() {
        return this != DECODE;
    }

    /**
     * Says whether an engine of this role generates tokens.
     *
     * @return true unless the role is {@link #PREFILL}
     */
    public boolean servesDecode() {
        return this != PREFILL;
    }
}
