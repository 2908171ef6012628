/** Relays calls between connections from callers and connections to targets, including retries and streaming. */
package org.dogwoodwinch.relay;
