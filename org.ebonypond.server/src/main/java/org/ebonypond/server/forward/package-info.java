/** Forwards requests of callers to backend servers, whole and once. */
@NullMarked
package org.ebonypond.server.forward;

import org.jspecify.annotations.NullMarked;
