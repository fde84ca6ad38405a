/** Structured logging with bounded volume that never blocks the caller. */
@NullMarked
package org.ebonypond.server.logging;

import org.jspecify.annotations.NullMarked;
