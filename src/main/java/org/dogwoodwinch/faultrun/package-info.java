/**
 * The fault run: real daemons as processes on loopback, stand-ins of everything around them, callers, faults from a
 * schedule, and the nine properties judged at the end.
 *
 * <p>Everything is recorded from outside the daemons: callers write what they asked and got, targets what they ran, and
 * a witness folds the log by itself.
 */
package org.dogwoodwinch.faultrun;
