/** The timer service, the hybrid logical clock, and the detection of suspensions. */
@NullMarked
package org.ebonypond.time;

import org.jspecify.annotations.NullMarked;
