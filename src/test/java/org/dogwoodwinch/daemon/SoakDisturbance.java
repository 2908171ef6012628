package org.dogwoodwinch.daemon;

/** What {@link SoakDay} plays beside its releases, crashes of targets, kills, freezes, cuts and losses of power. */
enum SoakDisturbance {
    /** Instances are back between 0.4 and 6 s after they were killed. */
    RESTARTS_OF_RANDOM_LENGTH,
    /** Losses of power spare a single instance at times, and each is followed by a second one. */
    SINGLE_SURVIVORS_AND_SECOND_LOSSES,
    /** The view that an instance has of the targets stands still at times, is late by up to 2.9 s, and then jumps. */
    LATE_VIEWS,
    /** Processes are suspended for up to 6 s, and their view is late on resumption until they have read on. */
    LONG_FREEZES,
    /** An instance that starts has the view of a neighbour, which may be late, until it has read on. */
    FIRST_VIEWS_FROM_NEIGHBOURS,
    /** Begins that are told, and answers to questions, are lost at times. */
    LOST_MESSAGES,
    /** An instance is cut from all others and the store for up to 12 s, serves on, and is killed or joins again. */
    LONG_CUTS,
    /** Configurations change the time-out of the callers' requests, and with it the lifetime of a stream. */
    CHANGED_TIMEOUTS,
    /**
     * Two services share the streams of a route, and configurations move its weights. The day begins quietly, until a
     * release begins and the weights move at about the same time.
     */
    MOVED_WEIGHTS
}
