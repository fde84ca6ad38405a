/** Load and experiment tools. */
@NullMarked
package org.ebonypond.bench;

import org.jspecify.annotations.NullMarked;
