/**
 * Measurements of sizes, latencies and resource usage in one report, and the capacity figures
 * computed from it.
 */
@NullMarked
package org.ebonypond.bench.report;

import org.jspecify.annotations.NullMarked;
