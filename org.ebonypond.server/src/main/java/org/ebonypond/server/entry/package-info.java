/**
 * The request path of the daemon's entries: admission, routing, dispatch, retries and answers. The
 * platform's entries use {@code org.ebonypond.server.forward}.
 */
@NullMarked
package org.ebonypond.server.entry;

import org.jspecify.annotations.NullMarked;
