/**
 * Simulates policies of admission and group selection. Groups run passes whose duration follows the
 * published cost of their engine; callers have latency targets and deadlines and retry; entries
 * decide on outdated loads.
 */
@NullMarked
package org.ebonypond.bench.experiment;

import org.jspecify.annotations.NullMarked;
