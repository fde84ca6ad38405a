/**
 * Experiments with admission and choice of groups: a model of the passes of groups by their
 * published cost, callers with targets, deadlines and returns, and entries with late knowledge.
 */
@NullMarked
package org.ebonypond.bench.experiment;

import org.jspecify.annotations.NullMarked;
