/**
 * The users' platform as it speaks: names, formats and calls, translated into the product's own types. Nothing here
 * decides: no retry, no choice, no time bound of its own, no state beyond a connection.
 */
package org.dogwoodwinch.platform;
