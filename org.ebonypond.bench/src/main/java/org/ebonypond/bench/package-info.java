/** Load and experiment tool. */
@NullMarked
package org.ebonypond.bench;

import org.jspecify.annotations.NullMarked;
