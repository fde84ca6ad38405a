/** The view lease of an entry, and leased shares of the ceilings of starting backend servers. */
@NullMarked
package org.ebonypond.lease;

import org.jspecify.annotations.NullMarked;
