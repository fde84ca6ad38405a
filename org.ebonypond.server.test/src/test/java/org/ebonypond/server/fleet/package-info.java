/** Tests of the control replicas and of the processes that poll them. */
@NullMarked
package org.ebonypond.server.fleet;

import org.jspecify.annotations.NullMarked;
