/** The command-line tool {@code dogwoodwinchctl}. */
package org.dogwoodwinch.cli;
