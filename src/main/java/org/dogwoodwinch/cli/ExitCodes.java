package org.dogwoodwinch.cli;

/** The exit codes of {@code dogwoodwinchctl}. */
public final class ExitCodes {

    /** Done, or accepted. */
    public static final int DONE = 0;

    /** Refused, rejected or found wrong. */
    public static final int REFUSED = 1;

    /** The command line is wrong. */
    public static final int USAGE = 2;

    /** Not known yet: ask again. */
    public static final int UNKNOWN = 3;

    /** The instance or the platform did not answer. */
    public static final int UNREACHABLE = 4;

    private ExitCodes() {}
}
