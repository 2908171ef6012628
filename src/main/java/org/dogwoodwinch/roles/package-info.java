/** Planning of engine roles: how many engines of a group prefill, decode or do both. */
package org.dogwoodwinch.roles;
