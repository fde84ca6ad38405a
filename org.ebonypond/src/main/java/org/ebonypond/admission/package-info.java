/** Limits of an entry: fair queues, deadlines, and the retry budget. */
@NullMarked
package org.ebonypond.admission;

import org.jspecify.annotations.NullMarked;
