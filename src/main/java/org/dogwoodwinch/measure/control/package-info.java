/** Measurements of the control stream: the catalogue, leases, orders and planned changes. */
package org.dogwoodwinch.measure.control;
