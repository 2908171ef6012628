/** One request's life: attempts, retries, idempotency and truthful refusals. */
package org.dogwoodwinch.request;
