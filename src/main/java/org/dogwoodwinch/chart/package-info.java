/** State charts that are kept in files and interpreted. */
package org.dogwoodwinch.chart;
