/** A follower of one stream of the platform's log, and the base type of the records on the control stream. */
package org.dogwoodwinch.controllog;
