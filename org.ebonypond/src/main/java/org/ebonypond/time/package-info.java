/** The timer service and the hybrid logical clock. */
@NullMarked
package org.ebonypond.time;

import org.jspecify.annotations.NullMarked;
