package org.dogwoodwinch.forwarding;

/** The stage of processing that a target serves. */
public enum Stage {
    /** Prefills prompts and transfers their KV cache to another engine. */
    PREFILL,
    /** Decodes, and prefills prompts that were not prefilled elsewhere. */
    DECODE,
    /** Runs the whole call: a target that is no model engine, or an engine that prefills and decodes. */
    WHOLE
}
