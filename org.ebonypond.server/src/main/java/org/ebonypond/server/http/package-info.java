/** The HTTP APIs for callers, operators and backend servers. */
@NullMarked
package org.ebonypond.server.http;

import org.jspecify.annotations.NullMarked;
