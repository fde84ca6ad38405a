/** Parts of the replicated log that are not part of the API. */
@NullMarked
package org.ebonypond.consensus.internal;

import org.jspecify.annotations.NullMarked;
