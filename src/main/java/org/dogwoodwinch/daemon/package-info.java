/** The daemon {@code dogwoodwinchd}: its main class, the wiring of its components, and its operator pages. */
package org.dogwoodwinch.daemon;
