/** The fleet as one instance sees it, in the shape that {@code /status} and {@code dogwoodwinchctl status} share. */
package org.dogwoodwinch.status;
