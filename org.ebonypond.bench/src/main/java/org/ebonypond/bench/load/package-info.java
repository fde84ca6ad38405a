/** An open-loop load generator that sends requests to entries and checks the answers. */
@NullMarked
package org.ebonypond.bench.load;

import org.jspecify.annotations.NullMarked;
