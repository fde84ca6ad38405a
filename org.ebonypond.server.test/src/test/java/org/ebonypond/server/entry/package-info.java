/** Tests of the request path of an entry, on a manual clock. */
@NullMarked
package org.ebonypond.server.entry;

import org.jspecify.annotations.NullMarked;
