/** Selection of the target for a request, from load reports that lag behind. */
package org.dogwoodwinch.routing;
