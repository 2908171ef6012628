/** Implementations of the target clients over HTTP, based on AsyncHttpClient. */
package org.dogwoodwinch.target.http;
