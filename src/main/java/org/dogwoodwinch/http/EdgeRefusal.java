package org.dogwoodwinch.http;

import org.dogwoodwinch.request.Refusal;

/**
 * Tells the last handler of a connection to refuse what is arriving and to close: the rest of it cannot be trusted.
 *
 * @param refusal why
 */
record EdgeRefusal(Refusal refusal) {}
