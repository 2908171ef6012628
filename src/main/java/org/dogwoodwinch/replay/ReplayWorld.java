package org.dogwoodwinch.replay;

import org.dogwoodwinch.time.TimeSource;

/**
 * What all parts of a replay share.
 *
 * @param time the virtual clock
 * @param board carries the instances' exchange
 * @param tally counts outcomes
 */
record ReplayWorld(TimeSource time, ReplayBoard board, ReplayTally tally) {}
