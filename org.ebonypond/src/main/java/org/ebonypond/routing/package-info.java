/** Routing in one entry: selects a group or a plain service instance for each request. */
@NullMarked
package org.ebonypond.routing;

import org.jspecify.annotations.NullMarked;
