/** A load tool that sends requests to entries at given times and judges the answers. */
@NullMarked
package org.ebonypond.bench.load;

import org.jspecify.annotations.NullMarked;
