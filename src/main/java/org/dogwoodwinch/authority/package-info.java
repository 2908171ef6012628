/** Leases over groups of engines, orders to engines and planned changes, all derived from the order of the log. */
package org.dogwoodwinch.authority;
