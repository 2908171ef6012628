/** Exchange between the instances of the system. */
package org.dogwoodwinch.peer;
