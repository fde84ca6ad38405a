/** Admission control of an entry: fair queueing, deadlines and the retry budget. */
@NullMarked
package org.ebonypond.admission;

import org.jspecify.annotations.NullMarked;
