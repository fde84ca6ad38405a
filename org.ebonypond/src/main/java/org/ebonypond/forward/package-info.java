/** Per-request decisions of an entry: target selection, admission, rate limits and retries. */
@NullMarked
package org.ebonypond.forward;

import org.jspecify.annotations.NullMarked;
