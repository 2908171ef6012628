/**
 * The configuration of served models and services: owners, target groups, entries, their edits and their validation.
 */
package org.dogwoodwinch.catalogue;
