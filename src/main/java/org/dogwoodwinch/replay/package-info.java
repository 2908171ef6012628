/** Replay of recorded traces in virtual time through the real decision code, with baselines and a hindsight bound. */
package org.dogwoodwinch.replay;
