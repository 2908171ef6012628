/**
 * Histories of runs, and the checkers of the nine properties that must always hold.
 *
 * <p>A run tells what happened as {@link org.dogwoodwinch.history.HistoryEvent}s to a
 * {@link org.dogwoodwinch.history.HistoryRecorder}; {@link org.dogwoodwinch.history.HistoryChecks} then judges each
 * {@link org.dogwoodwinch.history.Property} and gives the shortest excerpt that shows a breach. A failure test with a
 * paused clock does it in four lines:
 *
 * <pre>{@code
 * MemoryRecorder history = new MemoryRecorder();
 * // ... the run calls history.record(new OrderEvent.Applied(time.monotonicMillis(), ...)) at its outside interfaces
 * HistoryVerdict verdict = HistoryChecks.standard().judge(history.history(), Property.NO_CONFLICTING_ORDERS);
 * assertTrue(verdict.held(), verdict::toText);
 * }</pre>
 *
 * <p>Record at the outside: callers record what they asked and got, targets what they ran and applied. A history that
 * the checked code wrote about itself would repeat its mistakes. Processes write JSON lines with
 * {@link org.dogwoodwinch.history.FileRecorder}; {@code dogwoodwinchctl history check FILE...} judges the files.
 */
package org.dogwoodwinch.history;
