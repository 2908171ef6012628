/** Follows keyed streams of the platform's log: a full reading first, then record by record, never going back. */
package org.dogwoodwinch.follow;
