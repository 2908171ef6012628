/** The Netty listeners for callers and operators. */
package org.dogwoodwinch.http;
