/** The I/O of forwarded calls: callers' connections, targets' connections and the life of a call between them. */
package org.dogwoodwinch.relay;
