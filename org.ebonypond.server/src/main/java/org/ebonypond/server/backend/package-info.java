/** Calls to backend servers. */
@NullMarked
package org.ebonypond.server.backend;

import org.jspecify.annotations.NullMarked;
