/** The measurements behind the capacity page, in one report. */
@NullMarked
package org.ebonypond.bench.report;

import org.jspecify.annotations.NullMarked;
