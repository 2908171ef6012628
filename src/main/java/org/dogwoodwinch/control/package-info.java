/** The replicated state that every instance derives from the control stream, and the operations on it for operators. */
package org.dogwoodwinch.control;
