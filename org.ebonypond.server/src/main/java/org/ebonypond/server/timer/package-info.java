/** The timer services of the daemon. */
@NullMarked
package org.ebonypond.server.timer;

import org.jspecify.annotations.NullMarked;
