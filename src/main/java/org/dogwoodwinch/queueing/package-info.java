/** The order in which calls of owners are sent while the targets of their service have no capacity. */
package org.dogwoodwinch.queueing;
