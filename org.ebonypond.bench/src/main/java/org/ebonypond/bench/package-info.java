/** Measurements of parts of the system. */
@NullMarked
package org.ebonypond.bench;

import org.jspecify.annotations.NullMarked;
