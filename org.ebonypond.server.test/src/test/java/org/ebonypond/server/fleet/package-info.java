/** Tests of the clients of the control replicas, on the manual clock. */
@NullMarked
package org.ebonypond.server.fleet;

import org.jspecify.annotations.NullMarked;
