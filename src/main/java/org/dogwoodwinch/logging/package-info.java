/** Log lines of key=value pairs. */
package org.dogwoodwinch.logging;
