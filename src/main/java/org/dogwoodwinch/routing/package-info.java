/** Choice of targets from lagged reports. */
package org.dogwoodwinch.routing;
