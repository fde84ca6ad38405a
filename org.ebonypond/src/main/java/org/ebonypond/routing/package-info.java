/** The choice of a group or plain service instance for a request, as one entry makes it. */
@NullMarked
package org.ebonypond.routing;

import org.jspecify.annotations.NullMarked;
