/** The entry's view of the control state and the tasks of the control leader. */
@NullMarked
package org.ebonypond.server.control;

import org.jspecify.annotations.NullMarked;
