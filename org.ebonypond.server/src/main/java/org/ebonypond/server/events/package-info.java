/** The event log of the daemon. */
@NullMarked
package org.ebonypond.server.events;

import org.jspecify.annotations.NullMarked;
