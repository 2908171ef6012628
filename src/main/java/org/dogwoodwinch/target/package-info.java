/** Client interfaces of targets (model engines and plain services) and the types that they exchange. */
package org.dogwoodwinch.target;
