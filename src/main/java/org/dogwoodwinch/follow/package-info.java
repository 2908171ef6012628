/**
 * Follows keyed streams of the platform's log: reads a snapshot first, then record by record, without going back to
 * earlier offsets.
 */
package org.dogwoodwinch.follow;
