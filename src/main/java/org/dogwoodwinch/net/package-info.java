/** The sockets, addresses and timers that all connections share. */
package org.dogwoodwinch.net;
