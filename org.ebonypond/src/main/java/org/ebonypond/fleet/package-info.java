/**
 * Registration of backend servers by heartbeat, and the groups that their engines form. The latest
 * heartbeat of an instance is the only record of it; no state in this package is durable.
 */
@NullMarked
package org.ebonypond.fleet;

import org.jspecify.annotations.NullMarked;
