/**
 * Fault schedules: which fault, when, on whom, one at a time or two at a time, from a seed.
 *
 * <p>A schedule is data. A failure test with a paused clock and the fault run with real processes both play it through
 * {@link org.dogwoodwinch.fault.FaultPlayer} and differ only in the {@link org.dogwoodwinch.fault.FaultInjector}.
 */
package org.dogwoodwinch.fault;
