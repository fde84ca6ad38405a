/** Assembly of streamed answers and the choice to resume a stream elsewhere. */
@NullMarked
package org.ebonypond.stream;

import org.jspecify.annotations.NullMarked;
