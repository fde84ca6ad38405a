/** Length-prefixed MessagePack frames over TCP between the processes of the system. */
@NullMarked
package org.ebonypond.server.transport;

import org.jspecify.annotations.NullMarked;
