/** At-most-once execution: the replicated request ledger and the call that uses it. */
@NullMarked
package org.ebonypond.ledger;

import org.jspecify.annotations.NullMarked;
