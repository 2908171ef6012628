package org.dogwoodwinch.forwarding;

/** The part of the work that a target takes. */
public enum Stage {
    /** Reads prompts and hands their memory on. */
    PREFILL,
    /** Generates, and reads prompts too where they were not read elsewhere. */
    DECODE,
    /** A plain service, or an engine that does both. */
    WHOLE
}
