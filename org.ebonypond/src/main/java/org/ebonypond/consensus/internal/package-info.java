/** Implementation of the replicated log; not part of the API. */
@NullMarked
package org.ebonypond.consensus.internal;

import org.jspecify.annotations.NullMarked;
