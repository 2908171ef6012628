/** Narrow interfaces to targets: model engines and plain services. */
package org.dogwoodwinch.target;
