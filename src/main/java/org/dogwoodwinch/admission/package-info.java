/** Owners' limits, deadlines and bounded queues. */
package org.dogwoodwinch.admission;
