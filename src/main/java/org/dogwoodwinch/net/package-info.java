/** Socket transport, addresses and event loop timers that all network code shares. */
package org.dogwoodwinch.net;
