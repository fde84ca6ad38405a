/** Tests of the request path of an entry, on the manual clock. */
@NullMarked
package org.ebonypond.server.entry;

import org.jspecify.annotations.NullMarked;
