package org.dogwoodwinch.forwarding;

/** The kind of a route's calls, which determines what may be retried. */
public enum RouteKind {
    /** A call that may run more than once. */
    REPEATABLE,
    /** A call that may run at most once for each request of a caller. */
    ONCE,
    /** A call answered by a sequence of events. It may run again only if the route allows streams to be resumed. */
    STREAM
}
