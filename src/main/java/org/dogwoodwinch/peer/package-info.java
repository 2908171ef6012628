/** The message exchange between the instances: membership, relays, gossip, publish/subscribe and state transfer. */
package org.dogwoodwinch.peer;
