/** The catalogue: owners, target groups and entries, and how edits take effect. */
package org.dogwoodwinch.catalogue;
