/** Stand-ins of the outside systems behind HTTP, for tests, demo and measurements. */
package org.dogwoodwinch.standin.http;
