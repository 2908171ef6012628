/** The control stream folded into one state on every instance, and what operators ask of it. */
package org.dogwoodwinch.control;
