/** The replicated log. */
@NullMarked
package org.ebonypond.consensus;

import org.jspecify.annotations.NullMarked;
