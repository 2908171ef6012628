package org.dogwoodwinch.scaling;

/** How an engine is billed, and whether the platform may take it away. */
public enum EngineKind {

    /** Billed at the full price, and kept until it is given back. */
    ON_DEMAND,

    /** Billed at a fraction of the price; the platform may reclaim all spot engines of a data centre at once. */
    SPOT
}
