/** Counters and histograms that the operators' listener shows to Prometheus. */
package org.dogwoodwinch.metrics;
