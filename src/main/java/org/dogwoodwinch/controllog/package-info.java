/** Following one stream of the platform's log, and the kind of records that the control stream carries. */
package org.dogwoodwinch.controllog;
