package org.dogwoodwinch.fault;

/** What a fault befalls. */
public enum FaultScope {
    /** One instance of ours. */
    INSTANCE,
    /** One engine. */
    ENGINE,
    /** The platform, or the fleet as a whole; the subject is {@link Fault#PLATFORM}. */
    PLATFORM
}
