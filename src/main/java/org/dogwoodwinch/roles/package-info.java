/** Planning of engine roles: how many engines of a group do prefill, decode or both. */
package org.dogwoodwinch.roles;
