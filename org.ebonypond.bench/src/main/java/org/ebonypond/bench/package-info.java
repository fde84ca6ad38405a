/** Benchmarks and simulations of routing, placement, the request ledger and the replicated log. */
@NullMarked
package org.ebonypond.bench;

import org.jspecify.annotations.NullMarked;
