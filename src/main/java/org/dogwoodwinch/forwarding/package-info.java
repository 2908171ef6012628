/**
 * Decisions on forwarding calls: the route and service of a call, the target that receives it, the outcome of an
 * attempt, and whether the call may be retried. The package performs no I/O and reads no clock of its own.
 */
package org.dogwoodwinch.forwarding;
