/** Recorded traces of the control leader's inputs, and their replay against expected outcomes. */
@NullMarked
package org.ebonypond.trace;

import org.jspecify.annotations.NullMarked;
