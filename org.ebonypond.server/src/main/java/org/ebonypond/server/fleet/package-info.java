/**
 * Control of the platform's serving fleet: replicated configuration, heartbeats, polls and orders.
 * The daemon uses {@code org.ebonypond.server.control}.
 */
@NullMarked
package org.ebonypond.server.fleet;

import org.jspecify.annotations.NullMarked;
