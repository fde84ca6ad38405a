/** Decisions of an entry about one request: where it goes, whether it waits, may be sent again. */
@NullMarked
package org.ebonypond.forward;

import org.jspecify.annotations.NullMarked;
