/** Tests of the clients of the control replicas with a manual clock, and of the leader's trace. */
@NullMarked
package org.ebonypond.server.control;

import org.jspecify.annotations.NullMarked;
