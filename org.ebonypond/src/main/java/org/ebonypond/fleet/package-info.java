/**
 * Backend servers that announce themselves with heartbeats, and the groups that their engines form.
 * The latest heartbeat of an instance is the only record of it; nothing here is durable.
 */
@NullMarked
package org.ebonypond.fleet;

import org.jspecify.annotations.NullMarked;
