package org.dogwoodwinch.forwarding;

/** What a route's calls are, and with it what may be repeated. */
public enum RouteKind {
    /** A call that may run more than once. */
    REPEATABLE,
    /** A call that may run at most once for each request of a caller. */
    ONCE,
    /** A call answered by a series of events; it may run again only where the route lets a stream be resumed. */
    STREAM
}
