/** Who may order which engine: leases of engine groups, orders and planned changes, all decided by log order. */
package org.dogwoodwinch.authority;
