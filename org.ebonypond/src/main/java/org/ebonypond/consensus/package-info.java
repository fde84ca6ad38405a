/** The replicated log (Raft). */
@NullMarked
package org.ebonypond.consensus;

import org.jspecify.annotations.NullMarked;
