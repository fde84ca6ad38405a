/** Graceful shutdown of an entry. */
@NullMarked
package org.ebonypond.drain;

import org.jspecify.annotations.NullMarked;
