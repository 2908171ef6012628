/** How many engines a service has, in which data centres and of which kind, where engines are billed by the second. */
package org.dogwoodwinch.scaling;
