/**
 * Forwards callers' requests to backend servers; each request gets exactly one answer. This is the
 * request path of the platform's entries; the daemon uses {@code org.ebonypond.server.entry}.
 */
@NullMarked
package org.ebonypond.server.forward;

import org.jspecify.annotations.NullMarked;
