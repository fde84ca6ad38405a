/** Measurements of the decision classes and of the daemon's parts. */
@NullMarked
package org.ebonypond.bench;

import org.jspecify.annotations.NullMarked;
