package org.dogwoodwinch.target;

/** The phases of generation that an engine serves. */
public enum EngineRole {
    /** Computes the KV caches of prompts and exports them. */
    PREFILL,
    /** Imports KV caches and generates tokens. */
    DECODE,
    /** Computes prompts and generates tokens. */
    MIXED;

    /**
     * Returns whether an engine of this role computes prompts.
     *
     * @return true unless the role is {@link #DECODE}
     */
    public boolean servesPrefill() {
        return this != DECODE;
    }

    /**
     * Returns whether an engine of this role generates tokens.
     *
     * @return true unless the role is {@link #PREFILL}
     */
    public boolean servesDecode() {
        return this != PREFILL;
    }
}
