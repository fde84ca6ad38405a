/**
 * Connections to backend servers that one entry opens for another which cannot reach them. The
 * entry that asks keeps every decision on a request; the one that relays only passes bytes on.
 */
@NullMarked
package org.ebonypond.server.relay;

import org.jspecify.annotations.NullMarked;
