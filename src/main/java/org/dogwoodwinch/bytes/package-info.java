/** An immutable value for raw bytes. */
package org.dogwoodwinch.bytes;
