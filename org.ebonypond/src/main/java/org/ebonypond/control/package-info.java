/** The control state machine, its commands and the immutable view of its state. */
@NullMarked
package org.ebonypond.control;

import org.jspecify.annotations.NullMarked;
