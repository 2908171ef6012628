/**
 * Translates the wire protocol of the users' platform (header names, JSON fields, calls) into this system's types. This
 * package contains no policy: it does not retry, choose targets or set timeouts, and keeps no state beyond a
 * connection.
 */
package org.dogwoodwinch.platform;
