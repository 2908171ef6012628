/** Counts the calls that began to run for each owner, and decides what is reported of them for each window of time. */
package org.dogwoodwinch.usage;
