/** The command-line tool {@code ebonypond}. */
@NullMarked
package org.ebonypond.pgm;

import org.jspecify.annotations.NullMarked;
