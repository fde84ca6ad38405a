/** Structured logs whose volume is bounded and that never block the caller. */
@NullMarked
package org.ebonypond.server.logging;

import org.jspecify.annotations.NullMarked;
