/** The thread that carries the inputs and outputs of a replica. */
@NullMarked
package org.ebonypond.server.replica;

import org.jspecify.annotations.NullMarked;
