/** Trials behind {@code bin/measure requests}: retries, requests that crash targets, claims and peer exchange. */
package org.dogwoodwinch.measure.requests;
