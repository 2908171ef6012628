/** Small stand-ins that speak the platform's protocol: its store, model engines and plain services. */
package org.dogwoodwinch.standin.platform;
