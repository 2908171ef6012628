/** The measurements behind every figure in the docs, started by {@code bin/measure NAME}. */
package org.dogwoodwinch.measure;
