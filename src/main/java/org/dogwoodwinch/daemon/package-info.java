/** Wires the parts into the daemon {@code dogwoodwinchd}. */
package org.dogwoodwinch.daemon;
