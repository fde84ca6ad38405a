/** Carries the serving fleet: its replicated configuration, its heartbeats, its orders. */
@NullMarked
package org.ebonypond.server.fleet;

import org.jspecify.annotations.NullMarked;
