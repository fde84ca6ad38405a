/** Clients of backend servers: engines and plain services. */
@NullMarked
package org.ebonypond.server.backend;

import org.jspecify.annotations.NullMarked;
