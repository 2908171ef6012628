/** Small in-process stand-ins of the outside systems, for tests, demo and replay. */
package org.dogwoodwinch.standin;
