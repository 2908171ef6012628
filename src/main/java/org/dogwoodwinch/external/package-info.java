/** Narrow interfaces to the platform: its log, instance list and weight store. */
package org.dogwoodwinch.external;
