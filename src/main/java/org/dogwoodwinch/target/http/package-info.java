/** AsyncHttpClient adapters of the target interfaces. */
package org.dogwoodwinch.target.http;
