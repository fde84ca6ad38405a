/** Control of the serving fleet: replicated configuration, heartbeats, polls and orders. */
@NullMarked
package org.ebonypond.server.fleet;

import org.jspecify.annotations.NullMarked;
