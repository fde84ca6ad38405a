/** Forwards callers' requests to backend servers; each request gets exactly one answer. */
@NullMarked
package org.ebonypond.server.forward;

import org.jspecify.annotations.NullMarked;
