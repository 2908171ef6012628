/** AsyncHttpClient adapters of the platform interfaces. */
package org.dogwoodwinch.external.http;
