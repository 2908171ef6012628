/**
 * Decisions about forwarded calls: which route and service a call belongs to, which target gets it, what is known of a
 * sent call, and whether it may be sent again. Pure: no I/O, no clock.
 */
package org.dogwoodwinch.forwarding;
