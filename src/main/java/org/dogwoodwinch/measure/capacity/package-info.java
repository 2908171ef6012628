/** Slopes measured with the real code, and what they come to at the target size. */
package org.dogwoodwinch.measure.capacity;
