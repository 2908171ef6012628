/** Injected time and timers, real and virtual. */
package org.dogwoodwinch.time;
