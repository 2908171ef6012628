/**
 * Processing of a request: attempts, retries, idempotency claims, quarantine of requests that crash targets, and
 * refusals that state whether the request may have run.
 */
package org.dogwoodwinch.request;
