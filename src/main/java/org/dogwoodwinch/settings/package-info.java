/** The daemon's settings: JSON with comments, read whole, checked whole, every problem with its file, line and field. */
package org.dogwoodwinch.settings;
