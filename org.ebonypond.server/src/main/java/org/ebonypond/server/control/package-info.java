/** The entry's view of the control state and the duties of the control leader. */
@NullMarked
package org.ebonypond.server.control;

import org.jspecify.annotations.NullMarked;
