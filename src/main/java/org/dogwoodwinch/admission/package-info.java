/**
 * Admission control: decides which requests start, wait in a bounded queue or are refused, and shares the owners'
 * limits among the instances.
 */
package org.dogwoodwinch.admission;
